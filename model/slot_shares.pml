/* The slots of one minion, divided among the entry VMs of its zone.
 *
 * Stands for src/process/SlotShares.cpp. The zone's row lists the members; each change is a new
 * generation. Nodes learn generations late, in order, and hear acknowledgements late or never, so a
 * node may be frozen or cut off at any step. A node that goes leaves its running work behind; the
 * platform lists it as gone only then. One that comes back is a new incarnation.
 *
 * The work that all nodes run, with what lost nodes left, must never exceed the slots.
 */

#define NODES 3
#ifndef STARTED
#define STARTED 2 /* nodes that run; the others never exist */
#endif
#define SLOTS 6
#ifndef GENERATIONS
#define GENERATIONS 4
#endif

/* Rows: members as bits of incarnations; bit 2 * node + incarnation - 1. */
byte newest = 0;
byte members[GENERATIONS + 1];
byte lossOf[GENERATIONS + 1]; /* newest generation up to this one that removed a lost member */

bool up[NODES];
byte inc[NODES];
byte running[NODES];
byte orphans = 0; /* work that lost members left at the minion */

byte known[NODES];   /* newest generation learnt */
byte inUse[NODES];   /* newest generation that the node uses in full */
byte acked[NODES];   /* newest generation that its running work fits into */
byte heard[NODES * NODES]; /* generation that n heard m acknowledge, as its listed incarnation */
byte settled[NODES]; /* losses up to this generation have surely ended their work */

#define AT(n, m) ((n) * NODES + (m))
#define MEMBER(m, i) (1 << (2 * (m) + (i) - 1))
#define SELF(n) MEMBER(n, inc[n])
#define IS_LISTED(g, m) ((members[g] & (3 << (2 * (m)))) != 0)
#define SIZE(g) (IS_LISTED(g, 0) + IS_LISTED(g, 1) + IS_LISTED(g, 2))
#define FULL(n, g) ((members[g] & SELF(n)) != 0 -> SLOTS / SIZE(g) : 0)
#define MIN(a, b) (a < b -> a : b)

#ifdef NO_ACK
#define HAS_ACK(n, m, g) true
#else
#define HAS_ACK(n, m, g) (m == n || !IS_LISTED(g, m) || heard[AT(n, m)] == g)
#endif
#define ALL_ACK(n, g) (HAS_ACK(n, 0, g) && HAS_ACK(n, 1, g) && HAS_ACK(n, 2, g))

#ifdef NO_LOSS_WAIT
#define IS_SETTLED(n, g) true
#else
#define IS_SETTLED(n, g) (lossOf[g] <= settled[n])
#endif

#ifdef NO_IN_FLIGHT
#define FITS(n) true
#else
#define FITS(n) (running[n] <= share)
#endif

#define TOTAL (running[0] + running[1] + running[2] + orphans)

/* The smallest of the shares since the generation in use; the newest alone with NO_SMALLEST. */
inline find_share(n)
{
  share = 0;
  g = inUse[n];
  if
  :: g > 0 ->
    share = FULL(n, g);
#ifdef NO_SMALLEST
    share = FULL(n, known[n]);
#else
    do
    :: g < known[n] ->
      g++;
      share = MIN(share, FULL(n, g))
    :: else -> break
    od;
#endif
  :: else
  fi;
  g = 0
}

#define CAN_WRITE(n) (up[n] && known[n] == newest && newest < GENERATIONS)

/* A write of the row checks the generation that it was decided on, and is at once or never: a late
 * one loses the check. */
inline propose(set, isLoss)
{
  /* The arguments are worked out on the row as it was. */
  members[newest + 1] = set;
  lossOf[newest + 1] = (isLoss -> newest + 1 : lossOf[newest]);
  newest++
}

/* What m has acknowledged counts only for the incarnation that is listed. */
#ifdef NO_INCARNATION
#define IS_SAME(g, m) true
#else
#define IS_SAME(g, m) ((members[g] & SELF(m)) != 0)
#endif

#define HEAR(n, m)                                                                                 \
  up[n] && up[m] && m != n && known[n] > 0 && IS_SAME(known[n], m) && heard[AT(n, m)] != acked[m] -> \
  heard[AT(n, m)] = acked[m]
#define REMOVE(n, m)                                                                               \
  CAN_WRITE(n) && m != n && IS_LISTED(newest, m) && !up[m] ->                                      \
  propose((members[newest] & ~(3 << (2 * m))), true)

proctype Node(byte n)
{
  byte share = 0;
  byte g = 0;

end:
  do
  /* Joins, in place of its earlier incarnation if that is listed. */
  :: d_step {
      CAN_WRITE(n) && (members[newest] & SELF(n)) == 0 ->
      propose((members[newest] & ~(3 << (2 * n)) | SELF(n)), IS_LISTED(newest, n))
    }
  :: d_step { REMOVE(n, 0) }
  :: d_step { REMOVE(n, 1) }
  :: d_step { REMOVE(n, 2) }
  /* Learns the next generation. */
  :: d_step { up[n] && known[n] < newest -> known[n]++ }
  :: d_step { HEAR(n, 0) }
  :: d_step { HEAR(n, 1) }
  :: d_step { HEAR(n, 2) }
  /* The longest run time has passed since the loss was learnt: the lost work has ended. */
  :: d_step {
      up[n] && known[n] > 0 && settled[n] < lossOf[known[n]] && orphans == 0 ->
      settled[n] = lossOf[known[n]]
    }
  :: d_step {
      up[n] && inUse[n] < known[n] && ALL_ACK(n, known[n]) && IS_SETTLED(n, known[n]) ->
      inUse[n] = known[n]
    }
  :: d_step {
      up[n] && acked[n] < known[n] ->
      find_share(n);
      if
      :: FITS(n) -> acked[n] = known[n]
      :: else
      fi;
      share = 0
    }
  /* Runs as much as it may; ends work. */
  :: d_step {
      up[n] && known[n] > 0 ->
      find_share(n);
      if
      :: running[n] < share -> running[n] = share
      :: else
      fi;
      share = 0;
      assert(TOTAL <= SLOTS)
    }
  :: d_step { up[n] && running[n] > 0 -> running[n] = 0 }
  /* Is killed, and comes back as a new incarnation. */
  :: d_step {
      up[n] ->
      up[n] = false;
      orphans = orphans + running[n];
      running[n] = 0;
      known[n] = 0;
      inUse[n] = 0;
      acked[n] = 0;
      settled[n] = 0;
      heard[AT(n, 0)] = 0;
      heard[AT(n, 1)] = 0;
      heard[AT(n, 2)] = 0
    }
  :: d_step { !up[n] && inc[n] < 2 -> up[n] = true; inc[n]++ }
  od
}

proctype Minion()
{
end:
  do
  :: d_step { orphans > 0 -> orphans = 0 }
  od
}

init
{
  byte n = 0;
  atomic {
    for (n : 0 .. STARTED - 1) {
      up[n] = true;
      inc[n] = 1
    }
    for (n : 0 .. STARTED - 1) {
      run Node(n)
    }
    run Minion();
    n = 0
  }
}
