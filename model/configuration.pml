/* Acceptance and spread of the configuration.
 *
 * Stands for src/process/ApplyOperation.cpp, ConfigReplica.cpp and ConfigSync.cpp. Two operators
 * apply one operation each, through any node; a write may be delayed or lost, its answer may be
 * lost, and the operator then asks again under the same operation id. Nodes learn versions from the
 * table, from reads that may be stale, and from peers, by whole copies or by deltas that may have
 * been asked for at another version. A node restarts with nothing, also while the table is out of
 * reach, and then learns from peers alone.
 *
 * Each operation takes effect at most once and on what its operator saw; a node never goes back;
 * what a node has at a version is what was accepted as that version.
 */

#ifndef NODES
#define NODES 2
#endif
#ifndef VERSIONS
#define VERSIONS 3
#endif
#define OPERATIONS 2

/* The table: the head, and per version the operation that made it. */
byte head = 0;
byte madeBy[VERSIONS + 1]; /* operation number, from 1 */
byte applied[OPERATIONS + 1]; /* how often the operation took effect */

/* Writes on their way, two of each operation: the first try and the repeat. */
#define SLOTS (2 * OPERATIONS)
bool used[SLOTS];
byte base[SLOTS]; /* head version that was judged and is checked */

/* Nodes: the version in force, and the version that its objects really are. */
byte has[NODES];
byte holds[NODES];
byte wanted[NODES]; /* version from which a delta was asked for */

#ifdef NO_HEAD_CHECK
#define HEAD_OK(s) true
#else
#define HEAD_OK(s) (base[s] == head)
#endif
#ifdef NO_OPERATION_ROW
#define IS_NEW(o) true
#else
#define IS_NEW(o) (applied[o] == 0)
#endif
#ifdef NO_MONOTONE
#define IS_HIGHER(n, v) (v != has[n])
#else
#define IS_HIGHER(n, v) (v > has[n])
#endif
/* The digest of a delta that was made from another version does not add up. */
#ifdef NO_DIGEST
#define ADDS_UP(n) true
#else
#define ADDS_UP(n) (wanted[n] == holds[n])
#endif

proctype Operator(byte o)
{
  byte s = 0;

end:
  do
  /* Judges the change on the head as read, and sends the write; asks again when unsure. */
  :: d_step {
      IS_NEW(o) && (!used[2 * o - 2] || !used[2 * o - 1]) ->
      s = (used[2 * o - 2] -> 2 * o - 1 : 2 * o - 2);
      used[s] = true;
      base[s] = head;
      s = 0
    }
  od
}

proctype Write(byte s)
{
end:
  do
  :: d_step {
      used[s] && head < VERSIONS && HEAD_OK(s) && IS_NEW(s / 2 + 1) ->
      /* The change was judged on the version that it follows: no other change is lost. */
      assert(base[s] == head);
      head++;
      madeBy[head] = s / 2 + 1;
      applied[s / 2 + 1]++;
      assert(applied[s / 2 + 1] <= 1);
      used[s] = false;
      base[s] = 0
    }
  :: d_step { used[s] -> used[s] = false; base[s] = 0 }
  od
}

#define TAKE(n, v)                                                                                 \
  IS_HIGHER(n, v) ->                                                                               \
  assert(v > has[n]);                                                                              \
  has[n] = v;                                                                                      \
  holds[n] = v

#define TAKE_READ(n, v) v <= head && TAKE(n, v)

/* A delta made from version wanted[n] up to version v; on other objects it gives a mixture. */
#define TAKE_DELTA(n, v)                                                                           \
  v <= head && v > wanted[n] && ADDS_UP(n) && IS_HIGHER(n, v) ->                                   \
  assert(v > has[n] && wanted[n] == holds[n]);                                                     \
  has[n] = v;                                                                                      \
  holds[n] = v

proctype Node(byte n)
{
end:
  do
  /* Whole copies: from the table, perhaps stale, or from a peer. */
  :: d_step { TAKE_READ(n, 1) }
  :: d_step { TAKE_READ(n, 2) }
  :: d_step { TAKE_READ(n, 3) }
  :: d_step { TAKE(n, has[(n + 1) % NODES]) }
  /* Deltas: asked for now, answered later, by the table or by a peer. */
  :: d_step { wanted[n] != has[n] -> wanted[n] = has[n] }
  :: d_step { TAKE_DELTA(n, 1) }
  :: d_step { TAKE_DELTA(n, 2) }
  :: d_step { TAKE_DELTA(n, 3) }
  /* Restart with nothing; an answer to the earlier process never reaches this one. */
  :: d_step { has[n] > 0 -> has[n] = 0; holds[n] = 0; wanted[n] = 0 }
  od
}

init
{
  byte i = 0;
  atomic {
    for (i : 1 .. OPERATIONS) {
      run Operator(i)
    }
    for (i : 0 .. SLOTS - 1) {
      run Write(i)
    }
    for (i : 0 .. NODES - 1) {
      run Node(i)
    }
    i = 0
  }
}
