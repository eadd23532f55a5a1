/* At most once across entry VMs: one partition, one idempotency key.
 *
 * Stands for src/process/KeyPartitions.cpp, src/process/GoneNodeDetector.cpp and src/request/KeyTable.cpp.
 *
 * A request for the key, first or resent, forwarded at once or late, may reach any node at any time
 * and any number of times. Reads of the table may be stale without bound. A write may be delayed
 * without bound, also past the death of its sender, may be lost, and its answer is never needed:
 * ownership is learnt by reading alone. Any time may pass between two steps, so a node may be
 * paused anywhere, and the table may be out of reach for any time.
 *
 * Each NO_... switch removes one rule; WRONG_LIST and CLOCK_BEYOND break an assumption. RUNS_ONLY
 * leaves out the check that a key refused as "not run" did not run.
 */

#ifndef NODES
#define NODES 2
#endif
#ifndef TMAX
#define TMAX 4 /* last moment of real time */
#endif
#ifndef VERSIONS
#define VERSIONS 3 /* writes of the row */
#endif
#ifndef WRITES
#define WRITES 2 /* writes in flight at once */
#endif
#ifndef INCARNATIONS
#define INCARNATIONS 2 /* of each node */
#endif
#define LAG 1    /* the VM list shows no older state */
#define SPREAD 1 /* largest difference between the clocks of two nodes */
#define AHEAD 1  /* how far in the future a key may be minted */
#ifdef CLOCK_BEYOND
#define REAL_SPREAD 3
#else
#define REAL_SPREAD SPREAD
#endif

/* What a node knows of the key. */
#define FREE 0
#define CHECKED 1 /* allowed to run, not sent yet */
#define ENDED 2   /* sent: answered, or outcome unknown */

/* How a node treats a partition that it owns. */
#define ACCEPTING 0
#define STOPPING 1 /* the control thread has told the traffic thread to stop */
#define STOPPED 2  /* the traffic thread has confirmed it */

byte t = 0;
byte mint;
byte runs = 0;

/* The row with its earlier versions, which stale reads still show. Version 0: there is no row. */
byte version = 0;
byte owner[VERSIONS + 1];
byte ownerInc[VERSIONS + 1];
bool lets[VERSIONS + 1]; /* the mint floor is not above the key's mint time */

/* Writes on their way to the table. */
bool used[WRITES];
byte check[WRITES];
byte newOwner[WRITES];
byte newInc[WRITES];
bool newLets[WRITES];

/* Nodes. */
bool up[NODES];
byte inc[NODES];
byte born[NODES];   /* when this incarnation replaced the one before; 0: long ago */
byte offset[NODES]; /* of the node's clock */
byte key[NODES];
byte known[NODES]; /* newest version read */
byte phase[NODES];

#define CLOCK(n) (t + offset[n])

#ifdef NO_INCARNATION
#define OWNS(n, v) (v > 0 && owner[v] == n)
#else
#define OWNS(n, v) (v > 0 && owner[v] == n && ownerInc[v] == inc[n])
#endif

/* The VM list may still show the state of LAG ago, when a replaced VM was gone. */
#define WAS_DOWN_LATELY(m) (born[m] > 0 && born[m] + LAG >= t)
#ifdef WRONG_LIST
#define LISTED_GONE(m) true
#else
#define LISTED_GONE(m) (!up[m] || WAS_DOWN_LATELY(m))
#endif

/* A taker first saw the incarnation when it was born, at the earliest. */
#ifdef NO_LIST_LAG
#define MEANS_THIS_ONE(m) true
#else
#define MEANS_THIS_ONE(m) (!WAS_DOWN_LATELY(m))
#endif

#define REPLACED(m, i) (inc[m] > i)
#define GONE(n, m, i) (REPLACED(m, i) || (n != m && LISTED_GONE(m) && MEANS_THIS_ONE(m)))

#ifdef NO_ORDER
#define MAY_LEARN(n, v) (v != known[n])
#else
#define MAY_LEARN(n, v) (v > known[n])
#endif

#ifdef NO_FLOOR
#define TAKEOVER_LETS(n) true
#else
#define TAKEOVER_LETS(n) (mint >= CLOCK(n) + SPREAD + AHEAD + 1)
#endif

#ifdef NO_CHECK
#define CHECKS(w) true
#else
#define CHECKS(w) (check[w] == version)
#endif

#ifdef NO_FUTURE
#define TOO_NEW(n) false
#else
#define TOO_NEW(n) (mint > CLOCK(n) + AHEAD)
#endif

#ifdef NO_STOP
#define MAY_HAND_OVER(n) (phase[n] != ACCEPTING)
#define MAY_START(n) true /* the traffic thread has not heard of the stop */
#else
#define MAY_HAND_OVER(n) (phase[n] == STOPPED)
#define MAY_START(n) (phase[n] != STOPPED)
#endif

inline clear_write(w)
{
  used[w] = false;
  check[w] = 0;
  newOwner[w] = 0;
  newInc[w] = 0;
  newLets[w] = false
}

inline take_effect(w)
{
  if
  :: CHECKS(w) && version < VERSIONS ->
    version++;
    owner[version] = newOwner[w];
    ownerInc[version] = newInc[w];
    lets[version] = newLets[w]
  :: else
  fi
}

/* Node n sends a write of the row in the first free slot. */
inline send_write(toNode, toInc, letsKey)
{
  slot = 0;
  do
  :: used[slot] -> slot++
  :: else -> break
  od;
  used[slot] = true;
  check[slot] = known[n];
  newOwner[slot] = toNode;
  newInc[slot] = toInc;
  newLets[slot] = letsKey;
  slot = 0
}

#if WRITES == 1
#define HAS_SLOT (!used[0])
#else
#define HAS_SLOT (!used[0] || !used[1])
#endif

/* The floor is raised above the newest key that this node started. */
#ifdef NO_EXACT_FLOOR
#define HANDOVER_LETS(n) lets[known[n]]
#else
#define HANDOVER_LETS(n) (lets[known[n]] && key[n] == FREE)
#endif

#ifdef NO_DRAIN
#define IS_DRAINED(n) true
#else
#define IS_DRAINED(n) (key[n] != CHECKED)
#endif

/* The traffic thread may start the key. In all other cases the request joins the run, gets the kept
 * answer, is forwarded, or is refused as "outcome unknown". */
#define MAY_RUN(n)                                                                                 \
  (up[n] && key[n] == FREE && OWNS(n, known[n]) && MAY_START(n) && lets[known[n]])

#define LEARN(n, v) up[n] && v <= version && MAY_LEARN(n, v) -> known[n] = v; phase[n] = ACCEPTING
#define HAND_OVER(n, m, i)                                                                         \
  up[n] && OWNS(n, known[n]) && MAY_HAND_OVER(n) && m != n && i <= inc[m] && HAS_SLOT ->           \
  send_write(m, i, HANDOVER_LETS(n))

proctype Node(byte n)
{
  byte slot = 0;

end:
  do
  /* The VM goes, with all that it had checked and not sent; one of its name comes back. */
  :: d_step { up[n] -> up[n] = false; key[n] = FREE; known[n] = 0; phase[n] = ACCEPTING }
  :: d_step { !up[n] && inc[n] < INCARNATIONS -> up[n] = true; inc[n]++; born[n] = t }

  /* The control thread reads the row. */
  :: d_step { LEARN(n, 1) }
  :: d_step { LEARN(n, 2) }
  :: d_step { LEARN(n, 3) }
#if VERSIONS > 3
  :: d_step { LEARN(n, 4) }
#endif

  /* The control thread claims the partition, or takes it over. */
  :: d_step {
      up[n] && known[n] == 0 && HAS_SLOT ->
      send_write(n, inc[n], TAKEOVER_LETS(n))
    }
  :: d_step {
      up[n] && known[n] > 0 && !OWNS(n, known[n]) && HAS_SLOT &&
      GONE(n, owner[known[n]], ownerInc[known[n]]) ->
      send_write(n, inc[n], (lets[known[n]] && TAKEOVER_LETS(n)))
    }

  /* Hand-over: the control thread asks for the stop, the traffic thread confirms it once no key
   * runs, the control thread writes the row. */
  :: d_step { up[n] && OWNS(n, known[n]) && phase[n] == ACCEPTING -> phase[n] = STOPPING }
  :: d_step { up[n] && phase[n] == STOPPING && IS_DRAINED(n) -> phase[n] = STOPPED }
  :: d_step { HAND_OVER(n, 0, 1) }
  :: d_step { HAND_OVER(n, 0, 2) }
  :: d_step { HAND_OVER(n, 1, 1) }
  :: d_step { HAND_OVER(n, 1, 2) }
#if NODES > 2
  :: d_step { HAND_OVER(n, 2, 1) }
  :: d_step { HAND_OVER(n, 2, 2) }
#endif

  /* The traffic thread. */
  :: d_step { MAY_RUN(n) && !TOO_NEW(n) -> key[n] = CHECKED }
#ifndef RUNS_ONLY
  :: d_step { MAY_RUN(n) && TOO_NEW(n) && runs > 0 -> assert(false) /* refused as not run */ }
#endif
  :: d_step { key[n] == CHECKED -> key[n] = FREE /* the minion refused: proof of not run */ }
  :: d_step { key[n] == CHECKED -> key[n] = ENDED; runs++; assert(runs <= 1) }
#ifdef NO_PROOF
  :: d_step { key[n] == CHECKED -> key[n] = FREE; runs++; assert(runs <= 1) }
#endif
#ifdef NO_AGE
  :: d_step { key[n] == ENDED -> key[n] = FREE /* forgotten, and not refused as too old */ }
#endif
  od
}

/* A write takes effect, or is lost. */
proctype Write(byte w)
{
end:
  do
  :: d_step { used[w] -> take_effect(w); clear_write(w) }
  :: d_step { used[w] -> clear_write(w) }
  od
}

proctype Clock()
{
  byte i = 0;

end:
  do
  :: d_step {
      t < TMAX ->
      t++;
      for (i : 0 .. NODES - 1) {
        /* Births that lie too far back to matter are made equal: fewer states. */
        born[i] = (WAS_DOWN_LATELY(i) -> born[i] : 0)
      }
      i = 0
    }
  od
}

init
{
  byte i = 0;

  d_step {
    for (i : 0 .. NODES - 1) {
      up[i] = true;
      inc[i] = 1
    }
    i = 0
  }
  atomic {
    select(i : 0 .. REAL_SPREAD);
    offset[0] = i;
    offset[1] = REAL_SPREAD - i;
    select(i : 0 .. TMAX + REAL_SPREAD + AHEAD);
    mint = i;
    i = 0;
    run Clock();
    for (i : 0 .. NODES - 1) {
      run Node(i)
    }
    for (i : 0 .. WRITES - 1) {
      run Write(i)
    }
    i = 0
  }
}
