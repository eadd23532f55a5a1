/* A minion that restarts under its ID: one work unit, a former owner (0) and, with -DTAKEOVER, its
   successor (1). A call that gives a lease carries a time on the clock of the incarnation that its sender
   knows. That incarnation grants what is left of the time, any other one the minions' maximum, LONG. Calls
   and answers are lost at any time, which covers cuts, and answers overtake each other. A connection and
   the calls on it end with the incarnation. With -DLATE a call without an answer may be carried out up to
   DELAY after it was sent, also by a later incarnation. Time passes in ticks, for all at once; clocks do
   not differ, so there are no margins.

   Not modelled: ends of runs by themselves and their acknowledgement, the store, room, gangs, several
   units and minions. The other minion is the flag elsewhere: a run there never ends, and the successor
   knows of it. An order that is known not to have been sent counts as one without an answer. A stop takes
   place at once or not at all. Each owner has at most one late start and one late extension, and sends
   STARTS starts to the minion. A lease that is given while nothing runs counts for a later run.
   Each -DNO_... removes one rule. */

#define IDLE 0
#define ORDERED 1 /* a start was sent */
#define OPEN 2    /* a start got no answer */
#define RUNNING 3

#define NONE 0
#define SENT 1     /* on a connection of the present incarnation */
#define ANSWERED 2 /* the answer is on its way */
#define LOST 3     /* the sender will see the call fail */

#ifndef INCARNATIONS
#define INCARNATIONS 2
#endif
#ifndef STARTS
#define STARTS 1 /* by each owner to the minion */
#endif
#define SHORT 1 /* lease that an owner gives */
#define LONG 3  /* longest lease that a minion grants */
#ifdef LATE
#define DELAY 2 /* longest time after which a call is carried out */
#define WAIT (DELAY + LONG)
#define REST(x) ((x) - LONG) /* at most 0: not carried out any more */
#else
#define DELAY SHORT
#define WAIT DELAY
#define REST(x) (x)
#endif

/* The minion. */
byte incarnation = 1;
byte activeRun = 0;  /* run of the unit, see RUN; 0: none */
byte lease = 0;      /* ticks until its runs end */
bool fenced = false; /* it has seen the successor's token */
bool elsewhere = false;

/* Starts: one on its way and a late one for each owner. */
byte start[2] = NONE;
byte startClock[2] = 0; /* incarnation whose clock the time is of */
byte startLeft[2] = 0;  /* DELAY at its sending */
byte lateStartClock[2] = 0;
byte lateStartLeft[2] = 0;
byte lateRun[2] = 0;
byte revokedAt[2] = 0; /* incarnation at which the start was revoked */

/* Calls for the list of runs: index 2 * o may extend the lease, 2 * o + 1 only opens a connection. */
byte call[4] = NONE;
bool callGrants[4] = false; /* it has a time: the lease is extended */
byte callClock[4] = 0;
byte callLeft[4] = 0;          /* WAIT at its sending */
bool callIsSettled[4] = false; /* sent after the latest answer that settled a start */
bool callIsAfter[4] = false;   /* sent after the leases that the owner knows of */
byte listedBy[4] = 0;          /* answer: incarnation */
byte listedRun[4] = 0;         /* answer: run of the unit; 0: none */
byte lateCallClock[2] = 0;
byte lateCallLeft[2] = 0;

/* Owners. */
bool leaseEnded = false; /* the former owner's node lease */
byte known[2] = 0;       /* incarnation that has listed its runs */
byte unit[2] = IDLE;
byte number[2] = 0;      /* of the latest start */
byte leaseEnd[2] = 0;    /* ticks until the leases have ended, as the owner believes */
byte orderWait[2] = 0;   /* ticks until the run of a late start has ended */
byte openGrant[2] = 0;   /* ticks until the lease of a late extension has ended */
bool revoked[2] = false; /* the known incarnation has confirmed the stop */
bool failed[2] = false;  /* a call that was sent after the last lease has failed */
bool heard = false;      /* the successor has a list */

/* The latest run that owner o has ordered. */
#define RUN(o) (number[o] + (o == 0 -> 0 : STARTS))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define DOWN(x) x = (x > 0 -> x - 1 : 0)
#define OTHER(c) ((c) ^ 1)

#ifdef CONNECT
#define MAY_CONNECT true
#else
#define MAY_CONNECT false /* only the pending call without a lease opens connections */
#endif
#ifdef TAKEOVER
#define IS_ACTIVE(o) (!elsewhere && (o == 0 -> !leaseEnded : leaseEnded))
#else
#define IS_ACTIVE(o) (!elsewhere && o == 0 && !leaseEnded)
#endif
#ifdef NO_CONNECTION
#define REACHES(o) true
#else
#define REACHES(o) (known[o] == incarnation)
#endif
#ifdef NO_FENCE
#define IS_FENCED(o) false
#else
#define IS_FENCED(o) (o == 0 && fenced)
#endif
#if defined(NO_WAIT)
#define IS_LOST(o) (failed[o])
#define HAS_LEASE_ENDED(o) true
#elif defined(NO_FAILED_CALL)
#define IS_LOST(o) (leaseEnd[o] == 0)
#define HAS_LEASE_ENDED(o) (leaseEnd[o] == 0)
#else
#define IS_LOST(o) (failed[o] && leaseEnd[o] == 0)
#define HAS_LEASE_ENDED(o) (leaseEnd[o] == 0)
#endif
#ifdef NO_UNHEARD
#define IS_SETTLED(o) true
#else
#define IS_SETTLED(o) (o == 0 || heard || IS_LOST(o))
#endif
#ifdef NO_REVOKE
#define IS_REVOKED(o) true
#else
#define IS_REVOKED(o) (revoked[o])
#endif
#ifdef NO_ASKED
#define IS_LATER(c) true
#else
#define IS_LATER(c) (callIsSettled[c])
#endif
#ifdef NO_ORDER_AGE
#define IS_ORDER_OVER(o) true
#else
#define IS_ORDER_OVER(o) (orderWait[o] <= LONG)
#endif
#ifdef NO_LONG
#define HAS_ORDER_ENDED(o) (orderWait[o] <= LONG)
#else
#define HAS_ORDER_ENDED(o) (orderWait[o] == 0)
#endif
#if defined(NO_OPEN_GRANT)
#define OPEN_WAIT(o) 0
#elif defined(NO_GRANT_DELAY)
#define OPEN_WAIT(o) (openGrant[o] > LONG || orderWait[o] > LONG -> LONG : 0)
#else
#define OPEN_WAIT(o) MAX(openGrant[o], orderWait[o])
#endif

#if defined(NO_CANCEL)
#define CANCELS(c) false
#elif defined(NO_CONNECTING_CANCEL)
#define CANCELS(c) (c % 2 == 1)
#else
#define CANCELS(c) true
#endif

/* Whether the incarnation takes the time in a call as one that has not passed. */
#define IS_VALID(clock, left) (clock != incarnation || left > DELAY - SHORT)

inline grant(clock, left) {
  if
  :: clock == incarnation && left > DELAY - SHORT -> lease = MAX(lease, left - (DELAY - SHORT))
  :: clock == incarnation && left <= DELAY - SHORT
  :: clock != incarnation -> lease = LONG
  fi
}

inline carryOutStart(o, newRun, clock, left) {
  if
  :: !IS_FENCED(o) && IS_VALID(clock, left) ->
     grant(clock, left);
     fenced = (fenced || o == 1);
     if
     :: activeRun == 0 -> assert(!elsewhere); activeRun = newRun /* never two runs at once */
     :: else
     fi
  :: else
  fi
}

inline carryOutGrant(o, clock, left) {
  if
  :: !IS_FENCED(o) ->
     fenced = (fenced || o == 1);
     if
     :: left > 0 -> grant(clock, left)
     :: else
     fi
  :: else
  fi
}

inline endStart(o) {
  start[o] = NONE; startClock[o] = 0; startLeft[o] = 0;
  number[o] = (IS_ACTIVE(o) -> number[o] : 0)
}

inline endCall(c) {
  call[c] = NONE; callGrants[c] = false; callClock[c] = 0; callLeft[c] = 0; callIsSettled[c] = false;
  callIsAfter[c] = false; listedBy[c] = 0; listedRun[c] = 0
}

/* Answers to calls that were sent before do not show whether the unit runs. */
inline settle(o) { callIsSettled[2 * o] = false; callIsSettled[2 * o + 1] = false }

inline giveLease(o) { leaseEnd[o] = MAX(leaseEnd[o], SHORT); failed[o] = false }

/* A call for a list that grants a lease gets no answer, but may still be carried out. */
inline leaveOpen(o, c) {
  skip;
#ifdef LATE
  if
  :: callGrants[c] -> openGrant[o] = MAX(openGrant[o], callLeft[c])
  :: else
  fi
#endif
}

inline passTime(o) {
  DOWN(startLeft[o]); DOWN(lateStartLeft[o]); DOWN(lateCallLeft[o]);
  DOWN(leaseEnd[o]); DOWN(orderWait[o]); DOWN(openGrant[o]);
  DOWN(callLeft[2 * o]);
  start[o] = (start[o] == SENT && startLeft[o] == 0 -> LOST : start[o]);
  lateStartClock[o] = (lateStartLeft[o] == 0 -> 0 : lateStartClock[o]);
  lateRun[o] = (lateStartLeft[o] == 0 -> 0 : lateRun[o]);
  lateCallClock[o] = (lateCallLeft[o] == 0 -> 0 : lateCallClock[o])
}

inline breakConnections(o) {
  start[o] = (start[o] == SENT -> LOST : start[o]);
  call[2 * o] = (call[2 * o] == SENT -> LOST : call[2 * o]);
  call[2 * o + 1] = (call[2 * o + 1] == SENT -> LOST : call[2 * o + 1])
}

active proctype Minion() {
end:
  do
  :: d_step { lease > 0 || leaseEnd[0] > 0 || leaseEnd[1] > 0 || startLeft[0] > 0 || startLeft[1] > 0 ||
       callLeft[0] > 0 || callLeft[2] > 0 || orderWait[0] > 0 || orderWait[1] > 0 ||
       lateStartLeft[0] > 0 || lateStartLeft[1] > 0 || lateCallLeft[0] > 0 || lateCallLeft[1] > 0 ->
       DOWN(lease);
       activeRun = (lease == 0 -> 0 : activeRun);
       passTime(0);
       passTime(1)
     }
  :: d_step { incarnation < INCARNATIONS ->
       incarnation++; activeRun = 0; lease = 0; fenced = false;
       breakConnections(0);
       breakConnections(1)
     }
  od
}

inline answerList(o, c) {
  fenced = (fenced || o == 1);
  call[c] = ANSWERED; listedBy[c] = incarnation; listedRun[c] = activeRun
}

/* Carries out what owner o sends to the minion, or loses it. */
active [2] proctype Network() {
  byte o = _pid - 1;
end:
  do
  :: d_step { start[o] == SENT -> start[o] = LOST }
  :: d_step { start[o] == SENT && !IS_FENCED(o) && IS_VALID(startClock[o], startLeft[o]) ->
       carryOutStart(o, RUN(o), startClock[o], startLeft[o]); start[o] = ANSWERED
     }
  :: d_step { start[o] == SENT -> carryOutStart(o, RUN(o), startClock[o], startLeft[o]); start[o] = LOST }
  :: d_step { call[2 * o] == SENT -> call[2 * o] = LOST }
  :: d_step { call[2 * o] == SENT && !IS_FENCED(o) ->
       carryOutGrant(o, callClock[2 * o], REST(callLeft[2 * o])); answerList(o, 2 * o)
     }
  :: d_step { call[2 * o] == SENT ->
       carryOutGrant(o, callClock[2 * o], REST(callLeft[2 * o])); call[2 * o] = LOST
     }
  :: d_step { call[2 * o + 1] == SENT -> call[2 * o + 1] = LOST }
  :: d_step { call[2 * o + 1] == SENT && !IS_FENCED(o) -> answerList(o, 2 * o + 1) }
#ifdef LATE
  :: d_step { start[o] == SENT && lateStartLeft[o] == 0 ->
       lateStartLeft[o] = startLeft[o]; lateStartClock[o] = startClock[o]; lateRun[o] = RUN(o);
       start[o] = LOST
     }
  :: d_step { call[2 * o] == SENT && REST(callLeft[2 * o]) > 0 && lateCallLeft[o] == 0 ->
       lateCallLeft[o] = REST(callLeft[2 * o]); lateCallClock[o] = callClock[2 * o]; call[2 * o] = LOST
     }
  :: d_step { lateStartLeft[o] > 0 ->
       if
       :: revokedAt[o] == incarnation
       :: else -> carryOutStart(o, lateRun[o], lateStartClock[o], lateStartLeft[o])
       fi;
       lateStartLeft[o] = 0; lateStartClock[o] = 0; lateRun[o] = 0
     }
  :: d_step { lateCallLeft[o] > 0 ->
       carryOutGrant(o, lateCallClock[o], lateCallLeft[o]); lateCallLeft[o] = 0; lateCallClock[o] = 0
     }
#endif
  od
}

inline adopt(o) { unit[o] = RUNNING; leaseEnd[o] = MAX(leaseEnd[o], SHORT); orderWait[o] = 0; settle(o) }

inline readList(o, c) {
  if
  :: listedBy[c] != known[o] -> /* the minion has restarted */
     known[o] = listedBy[c];
     revoked[o] = false;
#ifdef NO_REOPEN
     unit[o] = (unit[o] == RUNNING -> IDLE : (unit[o] == ORDERED -> OPEN : unit[o]));
#else
     /* A start that was answered after this call may be of an incarnation later than the answer. */
     unit[o] = (unit[o] == RUNNING && IS_LATER(c) -> IDLE : (unit[o] != IDLE -> OPEN : IDLE));
#endif
     /* An answer to the other call may be of the former incarnation. */
     if
     :: !CANCELS(c)
     :: CANCELS(c) ->
#ifndef NO_CANCELLED
        leaveOpen(o, OTHER(c));
#endif
        endCall(OTHER(c))
     fi;
     leaseEnd[o] = MAX(leaseEnd[o], OPEN_WAIT(o))
  :: else
  fi;
  if
#ifdef NO_ADOPT
  :: listedRun[c] != 0 && unit[o] == IDLE
#else
  :: listedRun[c] != 0 && unit[o] == IDLE -> adopt(o)
#endif
  :: listedRun[c] != 0 && (unit[o] == ORDERED || unit[o] == OPEN) ->
     if
     :: listedRun[c] == RUN(o) -> adopt(o)
     :: else
     fi
  :: listedRun[c] == 0 && unit[o] == RUNNING && IS_LATER(c) -> unit[o] = IDLE
  :: listedRun[c] == 0 && unit[o] == OPEN && IS_LATER(c) && IS_REVOKED(o) -> unit[o] = IDLE
  :: else
  fi;
  failed[o] = false;
  heard = (heard || o == 1);
  endCall(c)
}

inline revoke(o) {
  revokedAt[o] = incarnation;
  activeRun = (activeRun == RUN(o) -> 0 : activeRun);
  start[o] = (start[o] == SENT -> LOST : start[o])
}

/* Clears what does not matter any more. */
inline forget(o) {
  known[o] = 0; unit[o] = IDLE; number[o] = (start[o] == SENT -> number[o] : 0);
  leaseEnd[o] = (o == 0 || elsewhere -> 0 : leaseEnd[o]); orderWait[o] = 0; openGrant[o] = 0;
  revoked[o] = false; failed[o] = false; settle(o); callIsAfter[2 * o] = false;
  endCall(2 * o + 1)
}

active [2] proctype Owner() {
  byte o = _pid - 3;
end:
  do
  :: d_step { o == 0 && !leaseEnded -> leaseEnded = true; leaseEnd[1] = SHORT; forget(0) }
  :: d_step { !IS_ACTIVE(o) && start[o] > SENT -> endStart(o) }
  :: d_step { !IS_ACTIVE(o) && call[2 * o] > SENT -> endCall(2 * o) }
  :: d_step { IS_ACTIVE(o) && unit[o] == IDLE && known[o] != 0 && start[o] == NONE && number[o] < STARTS &&
       IS_SETTLED(o) ->
       giveLease(o);
       unit[o] = ORDERED; number[o]++; startClock[o] = known[o]; startLeft[o] = DELAY; revoked[o] = false;
#ifdef LATE
       orderWait[o] = WAIT;
#endif
       start[o] = (REACHES(o) -> SENT : LOST)
     }
  :: d_step { IS_ACTIVE(o) && start[o] == ANSWERED ->
       if
       :: unit[o] == ORDERED -> unit[o] = RUNNING; orderWait[o] = 0; settle(o)
       :: else
       fi;
       endStart(o)
     }
  :: d_step { IS_ACTIVE(o) && start[o] == LOST ->
       unit[o] = (unit[o] == ORDERED -> OPEN : unit[o]); endStart(o)
     }
  /* The pending call, with a lease or without. */
  :: d_step { IS_ACTIVE(o) && call[2 * o] == NONE && known[o] != 0 ->
       giveLease(o);
       callGrants[2 * o] = true; callClock[2 * o] = known[o]; callLeft[2 * o] = WAIT;
       callIsSettled[2 * o] = IS_ORDER_OVER(o); call[2 * o] = (REACHES(o) -> SENT : LOST)
     }
  :: d_step { IS_ACTIVE(o) && call[2 * o] == NONE ->
       callIsSettled[2 * o] = IS_ORDER_OVER(o); callIsAfter[2 * o] = HAS_LEASE_ENDED(o); call[2 * o] = SENT
     }
  :: d_step { IS_ACTIVE(o) && call[2 * o] == ANSWERED -> readList(o, 2 * o) }
  :: d_step { IS_ACTIVE(o) && call[2 * o] == LOST ->
       failed[o] = (failed[o] || (callIsAfter[2 * o] && HAS_LEASE_ENDED(o)));
       leaveOpen(o, 2 * o); endCall(2 * o)
     }
  /* A call that only opens a connection; its list counts if it is of another incarnation. */
  :: d_step { IS_ACTIVE(o) && MAY_CONNECT && call[2 * o + 1] == NONE ->
       callIsSettled[2 * o + 1] = IS_ORDER_OVER(o); call[2 * o + 1] = SENT
     }
  :: d_step { IS_ACTIVE(o) && call[2 * o + 1] == ANSWERED ->
       if
       :: listedBy[2 * o + 1] != known[o] -> readList(o, 2 * o + 1)
       :: else -> endCall(2 * o + 1)
       fi
     }
  :: d_step { IS_ACTIVE(o) && call[2 * o + 1] == LOST -> endCall(2 * o + 1) }
  /* The known incarnation is told to refuse an unanswered start, and to end its run. */
  :: d_step { IS_ACTIVE(o) && unit[o] == OPEN && known[o] == incarnation && !IS_FENCED(o) ->
       revoke(o); revoked[o] = true; settle(o)
     }
  :: d_step { IS_ACTIVE(o) && unit[o] == OPEN && known[o] == incarnation && !IS_FENCED(o) ->
       revoke(o) /* no answer */
     }
  :: d_step { IS_ACTIVE(o) &&
       ((unit[o] == IDLE && IS_SETTLED(o)) || (unit[o] == RUNNING && IS_LOST(o)) ||
        (unit[o] == OPEN && IS_LOST(o) && HAS_ORDER_ENDED(o))) ->
       assert(activeRun == 0); /* never two runs at once */
       elsewhere = true;
       forget(0);
       forget(1)
     }
  od
}
