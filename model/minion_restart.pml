/* A minion that restarts under its ID: one work unit, a former owner (0) and, with -DTAKEOVER, its
   successor (1). A call that gives a lease carries a time on the clock of the incarnation that its sender
   knows. That incarnation grants what is left of the time, any other one the minions' maximum, LONG. Calls
   and answers are lost at any time, which covers cuts, and answers overtake each other. A connection and
   the calls on it end with the incarnation; with -DKEPT they lead to the next one. With -DLATE a call
   without an answer may be carried out up to DELAY after it was sent, also by a later incarnation. With
   -DSAME_CLOCK the clocks of all incarnations agree by chance. Time passes in ticks, for all at once; clocks
   do not differ in speed, so there are no margins.

   An incarnation is usable once it has listed its runs under a token that no start, stop or lease has been
   sent under: from then on it refuses what was sent before. An answer of another incarnation counts as none
   and raises the token. A start without an answer binds the unit to the minion, for its successor too if
   the start is recorded. A successor finds recorded what owner 0 had under way when its lease ended; with
   -DUNRECORDED not a start that owner 0 had not seen fail, with -DRECORDED_KNOWN also the incarnation that
   owner 0 knew. With -DSIDE_BY_SIDE a minion carries out a start beside another run of the unit.

   Not modelled: ends of runs by themselves and their acknowledgement, so neither a late start that a next
   incarnation carries out before it hears of the raised token, when the unit is already done, there or
   elsewhere; the store, which the tokens and the record depend on; room, gangs, several units and minions.
   The other minion is the flag elsewhere: a run there never ends, and the successor knows of it. An order
   that is known not to have been sent counts as one without an answer. A stop takes place at once or not at
   all. Each owner has at most one late start and one late extension, and sends STARTS starts to the minion.
   A lease that is given while nothing runs counts for a later run. Each -DNO_... removes one rule. */

#define IDLE 0
#define ORDERED 1 /* a start was sent */
#define OPEN 2    /* a start got no answer */
#define RUNNING 3

#define NONE 0
#define SENT 1
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
#else
#define DELAY SHORT
#endif
#if !defined(LATE) && !defined(KEPT)
#define ORDER_AGE 0 /* no later incarnation carries a start out */
#define ORDER_WAIT 0
#elif defined(NO_LONG)
#define ORDER_AGE DELAY
#define ORDER_WAIT DELAY
#else
#define ORDER_AGE DELAY
#define ORDER_WAIT (DELAY + LONG)
#endif

/* The minion. */
byte incarnation = 1;
byte activeRun = 0; /* run of the unit, see RUN; 0: none */
byte lease = 0;     /* ticks until its runs end */
byte fence = 0;     /* highest token that it has seen */
bool elsewhere = false;

/* Starts: one on its way and a late one for each owner. */
byte start[2] = NONE;
byte startClock[2] = 0; /* clock that the time is of */
byte startLeft[2] = 0;  /* DELAY at its sending */
byte startToken[2] = 0;
byte startedBy[2] = 0; /* answer: incarnation */
byte lateStartClock[2] = 0;
byte lateStartLeft[2] = 0;
byte lateStartToken[2] = 0;
byte lateRun[2] = 0;
byte revokedRun[2] = 0; /* highest run that was revoked at the present incarnation */

/* Calls for the list of runs: index 2 * o may extend the lease, 2 * o + 1 only opens a connection. */
byte call[4] = NONE;
byte callClock[4] = 0;
byte callLeft[4] = 0; /* DELAY at its sending if it extends the lease */
byte callToken[4] = 0;
bool callIsSettled[4] = false; /* sent after the latest answer that settled a start */
bool callIsOver[4] = false;    /* sent when no start could be carried out any more */
bool callIsAfter[4] = false;   /* sent after the leases that the owner knows of */
byte listedBy[4] = 0;          /* answer: incarnation */
byte listedRun[4] = 0;         /* answer: run of the unit; 0: none */
byte lateCallClock[2] = 0;
byte lateCallLeft[2] = 0;
byte lateCallToken[2] = 0;

/* Owners. */
bool leaseEnded = false; /* the former owner's node lease */
byte token[2] = 0;       /* how often the owner has raised its token */
byte known[2] = 0;       /* incarnation that is usable; 0: none */
byte unit[2] = IDLE;
byte number[2] = 0;      /* of the latest start */
byte leaseEnd[2] = 0;    /* ticks until the leases have ended, as the owner believes */
byte orderAge[2] = 0;    /* ticks until the latest start cannot be carried out any more */
byte orderWait[2] = 0;   /* ticks until its run has ended, if it got no answer */
byte boundAge[2] = 0;    /* the same for former starts without an answer */
byte boundWait[2] = 0;
bool revoked[2] = false; /* the known incarnation refuses the latest start */
bool failed[2] = false;  /* a call that was sent after the last lease has failed */
bool heard = false;      /* the successor has a list */
#ifdef RECORDED_KNOWN
byte recordedKnown = 0;  /* incarnation that the former owner knew */
#endif

/* The latest run that owner o has ordered. */
#define RUN(o) (number[o] + (o == 0 -> 0 : STARTS))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define DOWN(x) x = (x > 0 -> x - 1 : 0)

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
#if defined(NO_CONNECTION) || defined(KEPT)
#define REACHES(o) true
#else
#define REACHES(o) (known[o] == incarnation)
#endif
#ifdef SAME_CLOCK
#define CLOCK(i) 1
#else
#define CLOCK(i) (i)
#endif
/* Token in the calls of owner o that has raised it t times. */
#ifdef NO_TOKEN
#define TOKEN(o, t) ((o) + 1)
#else
#define TOKEN(o, t) ((o) * INCARNATIONS + (t) + 1)
#endif
#ifdef NO_FENCE
#define IS_FENCED(o, t) false
#else
#define IS_FENCED(o, t) (TOKEN(o, t) < fence)
#endif
#ifdef NO_CANCEL
#define IS_CURRENT(o, t) true
#else
#define IS_CURRENT(o, t) ((t) == token[o])
#endif
#ifdef NO_CLOCK
#define IS_OF_KNOWN(o, i) true
#else
#define IS_OF_KNOWN(o, i) (CLOCK(i) == CLOCK(known[o]))
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
#define IS_ORDER_OVER(o) (orderAge[o] == 0 && boundAge[o] == 0)
#endif
#ifdef NO_BIND
#define IS_BOUND(o) (unit[o] == OPEN && orderWait[o] > 0)
#else
#define IS_BOUND(o) (orderWait[o] > 0 || boundWait[o] > 0)
#endif
/* Leases at an incarnation that becomes usable may be the minions' maximum. */
#if defined(NO_OPEN_GRANT)
#define IS_UNCERTAIN(o) false
#elif defined(NO_INHERITED_LONG)
#define IS_UNCERTAIN(o) (token[o] > 0 || orderWait[o] > 0 || boundWait[o] > 0)
#elif defined(RECORDED_KNOWN)
#define IS_UNCERTAIN(o) (token[o] > 0 || (o == 1 && (boundWait[o] > 0 || listedBy[c] != recordedKnown)))
#else
#define IS_UNCERTAIN(o) (token[o] > 0 || o == 1)
#endif
#ifdef UNRECORDED
#define IS_ORDER_RECORDED ((orderWait[0] > 0 && unit[0] != ORDERED) || boundWait[0] > 0)
#else
#define IS_ORDER_RECORDED (orderWait[0] > 0 || boundWait[0] > 0)
#endif
#if defined(NO_RECORD)
#define IS_RECORDED false
#elif defined(NO_LONG_RECORD)
#define IS_RECORDED IS_ORDER_RECORDED
#else
#define IS_RECORDED (IS_ORDER_RECORDED || leaseEnd[0] > SHORT)
#endif

/* Whether the incarnation takes the time in a call as one that has not passed. */
#define IS_VALID(clock, left) (clock != CLOCK(incarnation) || left > DELAY - SHORT)

inline grant(clock, left) {
  if
  :: clock == CLOCK(incarnation) && left > DELAY - SHORT -> lease = MAX(lease, left - (DELAY - SHORT))
  :: clock == CLOCK(incarnation) && left <= DELAY - SHORT
  :: clock != CLOCK(incarnation) -> lease = LONG
  fi
}

inline carryOutStart(o, newRun, clock, left, t) {
  if
  :: !IS_FENCED(o, t) && IS_VALID(clock, left) ->
     grant(clock, left);
     fence = MAX(fence, TOKEN(o, t));
     if
     :: activeRun == 0 -> assert(!elsewhere); activeRun = newRun /* never two runs at once */
#ifdef SIDE_BY_SIDE
     :: else -> assert(activeRun == newRun)
#else
     :: else
#endif
     fi
  :: else
  fi
}

inline carryOutGrant(o, clock, left, t) {
  if
  :: !IS_FENCED(o, t) ->
     fence = MAX(fence, TOKEN(o, t));
     if
     :: left > 0 -> grant(clock, left)
     :: else
     fi
  :: else
  fi
}

inline endStart(o) {
  start[o] = NONE; startClock[o] = 0; startLeft[o] = 0; startToken[o] = 0; startedBy[o] = 0;
  number[o] = (IS_ACTIVE(o) -> number[o] : 0)
}

inline endCall(c) {
  call[c] = NONE; callClock[c] = 0; callLeft[c] = 0; callToken[c] = 0; callIsSettled[c] = false;
  callIsOver[c] = false; callIsAfter[c] = false; listedBy[c] = 0; listedRun[c] = 0
}

inline endLateStart(o) {
  lateStartLeft[o] = 0; lateStartClock[o] = 0; lateStartToken[o] = 0; lateRun[o] = 0
}

inline endLateCall(o) { lateCallLeft[o] = 0; lateCallClock[o] = 0; lateCallToken[o] = 0 }

/* A sender that is not the owner any more reads no answers. */
inline loseStart(o) {
  if
  :: IS_ACTIVE(o) -> start[o] = LOST; startClock[o] = 0; startLeft[o] = 0
  :: else -> endStart(o)
  fi
}

inline loseCall(o) {
  if
  :: IS_ACTIVE(o) -> call[2 * o] = LOST; callClock[2 * o] = 0; callLeft[2 * o] = 0
  :: else -> endCall(2 * o)
  fi
}

/* Answers to calls that were sent before do not show whether the unit runs. */
inline settle(o) { callIsSettled[2 * o] = false; callIsSettled[2 * o + 1] = false }

inline giveLease(o) { leaseEnd[o] = MAX(leaseEnd[o], SHORT); failed[o] = false }

/* A lease that is sent later may prolong the run of a start without an answer. */
inline prolong(o) {
  skip;
#ifndef NO_PROLONG
  orderWait[o] = (orderWait[o] > 0 -> ORDER_WAIT : 0);
  boundWait[o] = (boundWait[o] > 0 -> ORDER_WAIT : 0)
#endif
}

/* An incarnation that is not the known one has answered. Nothing is sent until one has listed its runs under
   the new token. */
inline raiseToken(o) {
  known[o] = 0; revoked[o] = false;
  token[o] = (token[o] < INCARNATIONS - 1 -> token[o] + 1 : token[o])
}

inline passTime(o) {
  DOWN(startLeft[o]); DOWN(callLeft[2 * o]); DOWN(lateStartLeft[o]); DOWN(lateCallLeft[o]);
  DOWN(leaseEnd[o]); DOWN(orderAge[o]); DOWN(orderWait[o]); DOWN(boundAge[o]); DOWN(boundWait[o]);
  if
  :: start[o] == SENT && startLeft[o] == 0 -> loseStart(o)
  :: else
  fi;
  if
  :: call[2 * o] == SENT && callLeft[2 * o] == 0 && !IS_ACTIVE(o) -> endCall(2 * o)
  :: else -> callClock[2 * o] = (callLeft[2 * o] == 0 -> 0 : callClock[2 * o])
  fi;
  if
  :: lateStartLeft[o] == 0 -> endLateStart(o)
  :: else
  fi;
  if
  :: lateCallLeft[o] == 0 -> endLateCall(o)
  :: else
  fi
}

inline breakConnections(o) {
  if
  :: start[o] == SENT -> loseStart(o)
  :: else
  fi;
  if
  :: call[2 * o] == SENT -> loseCall(o)
  :: else
  fi;
  if
  :: call[2 * o + 1] == SENT -> endCall(2 * o + 1)
  :: else
  fi
}

active proctype Minion() {
end:
  do
  :: d_step { lease > 0 || leaseEnd[0] > 0 || leaseEnd[1] > 0 || startLeft[0] > 0 || startLeft[1] > 0 ||
       callLeft[0] > 0 || callLeft[2] > 0 || orderWait[0] > 0 || orderWait[1] > 0 ||
       boundWait[0] > 0 || boundWait[1] > 0 ||
       lateStartLeft[0] > 0 || lateStartLeft[1] > 0 || lateCallLeft[0] > 0 || lateCallLeft[1] > 0 ->
       DOWN(lease);
       activeRun = (lease == 0 -> 0 : activeRun);
       passTime(0);
       passTime(1)
     }
  :: d_step { incarnation < INCARNATIONS ->
       incarnation++; activeRun = 0; lease = 0; fence = 0; revokedRun[0] = 0; revokedRun[1] = 0;
#ifndef KEPT
       breakConnections(0);
       breakConnections(1)
#endif
     }
  od
}

inline answerList(o, c) {
  fence = MAX(fence, TOKEN(o, callToken[c]));
  if
  :: IS_ACTIVE(o) ->
     call[c] = ANSWERED; callClock[c] = 0; callLeft[c] = 0;
     listedBy[c] = incarnation; listedRun[c] = activeRun
  :: else -> endCall(c)
  fi
}

/* Carries out what owner o sends to the minion, or loses it. */
active [2] proctype Network() {
  byte o = _pid - 1;
end:
  do
  :: d_step { start[o] == SENT -> loseStart(o) }
  :: d_step { start[o] == SENT && !IS_FENCED(o, startToken[o]) && IS_VALID(startClock[o], startLeft[o]) ->
       carryOutStart(o, RUN(o), startClock[o], startLeft[o], startToken[o]);
       if
       :: IS_ACTIVE(o) ->
          start[o] = ANSWERED; startClock[o] = 0; startLeft[o] = 0; startedBy[o] = incarnation
       :: else -> endStart(o)
       fi
     }
  :: d_step { start[o] == SENT ->
       carryOutStart(o, RUN(o), startClock[o], startLeft[o], startToken[o]);
       loseStart(o)
     }
  :: d_step { call[2 * o] == SENT -> loseCall(o) }
  :: d_step { call[2 * o] == SENT && !IS_FENCED(o, callToken[2 * o]) ->
       carryOutGrant(o, callClock[2 * o], callLeft[2 * o], callToken[2 * o]);
       answerList(o, 2 * o)
     }
  :: d_step { call[2 * o] == SENT ->
       carryOutGrant(o, callClock[2 * o], callLeft[2 * o], callToken[2 * o]);
       loseCall(o)
     }
  :: d_step { call[2 * o + 1] == SENT -> endCall(2 * o + 1) }
  :: d_step { call[2 * o + 1] == SENT && !IS_FENCED(o, callToken[2 * o + 1]) -> answerList(o, 2 * o + 1) }
#ifdef LATE
  :: d_step { start[o] == SENT && lateStartLeft[o] == 0 ->
       lateStartLeft[o] = startLeft[o]; lateStartClock[o] = startClock[o];
       lateStartToken[o] = startToken[o]; lateRun[o] = RUN(o);
       loseStart(o)
     }
  :: d_step { call[2 * o] == SENT && callLeft[2 * o] > 0 && lateCallLeft[o] == 0 ->
       lateCallLeft[o] = callLeft[2 * o]; lateCallClock[o] = callClock[2 * o];
       lateCallToken[o] = callToken[2 * o];
       loseCall(o)
     }
  :: d_step { lateStartLeft[o] > 0 ->
       if
       :: lateRun[o] <= revokedRun[o]
       :: else -> carryOutStart(o, lateRun[o], lateStartClock[o], lateStartLeft[o], lateStartToken[o])
       fi;
       endLateStart(o)
     }
  :: d_step { lateCallLeft[o] > 0 ->
       carryOutGrant(o, lateCallClock[o], lateCallLeft[o], lateCallToken[o]);
       endLateCall(o)
     }
#endif
  od
}

inline settleOrder(o) { orderAge[o] = 0; orderWait[o] = 0; settle(o) }

/* Another run than that of the latest start does not settle the start. */
inline adopt(o, c) {
  unit[o] = RUNNING; leaseEnd[o] = MAX(leaseEnd[o], SHORT);
  if
#ifdef NO_OTHER_RUN
  :: settleOrder(o)
#else
  :: listedRun[c] == RUN(o) -> settleOrder(o)
  :: else -> settle(o)
#endif
  fi
}

inline readRuns(o, c) {
  if
#ifdef NO_ADOPT
  :: listedRun[c] != 0 && unit[o] == IDLE
#else
  :: listedRun[c] != 0 && unit[o] == IDLE -> adopt(o, c)
#endif
  :: listedRun[c] != 0 && (unit[o] == ORDERED || unit[o] == OPEN) ->
     if
     :: listedRun[c] == RUN(o) -> adopt(o, c)
     :: else
     fi
  :: listedRun[c] == 0 && unit[o] == RUNNING && IS_LATER(c) -> unit[o] = IDLE
  :: listedRun[c] == 0 && unit[o] == OPEN && IS_LATER(c) && IS_REVOKED(o) -> unit[o] = IDLE
  :: else
  fi;
  revoked[o] = (unit[o] == OPEN -> revoked[o] : false);
  if
  :: callIsOver[c] && (unit[o] == IDLE || unit[o] == RUNNING) ->
     orderAge[o] = 0; orderWait[o] = 0; boundAge[o] = 0; boundWait[o] = 0
  :: else
  fi;
  failed[o] = false;
  heard = (heard || o == 1)
}

/* The incarnation that has answered under the token becomes usable. */
inline use(o, c) {
  known[o] = listedBy[c];
  leaseEnd[o] = (IS_UNCERTAIN(o) -> MAX(leaseEnd[o], LONG) : leaseEnd[o]);
#ifdef NO_TOKEN
  revoked[o] = false;
  unit[o] = (unit[o] == RUNNING && IS_LATER(c) -> IDLE : (unit[o] != IDLE -> OPEN : IDLE));
#else
  revoked[o] = true;
  unit[o] = (unit[o] == RUNNING -> IDLE : (unit[o] == ORDERED -> OPEN : unit[o]));
  callIsSettled[c] = true;
#endif
  readRuns(o, c)
}

inline readList(o, c) {
  if
  :: !IS_CURRENT(o, callToken[c])
  :: IS_CURRENT(o, callToken[c]) && known[o] == listedBy[c] -> readRuns(o, c)
  :: IS_CURRENT(o, callToken[c]) && known[o] != 0 && known[o] != listedBy[c] ->
     raiseToken(o);
#ifdef NO_SECOND_LIST
     use(o, c)
#endif
  :: IS_CURRENT(o, callToken[c]) && known[o] == 0 -> use(o, c)
  fi;
  endCall(c)
}

inline revoke(o) {
  fence = MAX(fence, TOKEN(o, token[o]));
#ifdef LATE
  revokedRun[o] = RUN(o);
#endif
  activeRun = (activeRun == RUN(o) -> 0 : activeRun);
  if
  :: start[o] == SENT -> loseStart(o)
  :: else
  fi
}

/* Clears what does not matter any more. */
inline forget(o) {
  known[o] = 0; token[o] = 0; unit[o] = IDLE; number[o] = (start[o] == SENT -> number[o] : 0);
  leaseEnd[o] = (o == 0 || elsewhere -> 0 : leaseEnd[o]);
  orderAge[o] = 0; orderWait[o] = 0; boundAge[o] = 0; boundWait[o] = 0;
  revoked[o] = false; failed[o] = false;
  if
  :: start[o] > SENT -> endStart(o)
  :: else
  fi;
  if
  :: call[2 * o] == SENT && callLeft[2 * o] > 0 && !elsewhere ->
     callIsSettled[2 * o] = false; callIsOver[2 * o] = false; callIsAfter[2 * o] = false
  :: else -> endCall(2 * o)
  fi;
  endCall(2 * o + 1);
  if
  :: elsewhere -> endLateCall(o)
  :: else
  fi
}

active [2] proctype Owner() {
  byte o = _pid - 3;
end:
  do
  :: d_step { o == 0 && !leaseEnded ->
       leaseEnded = true;
#ifdef RECORDED_KNOWN
       recordedKnown = known[0];
#endif
#ifdef TAKEOVER
       leaseEnd[1] = SHORT;
       boundAge[1] = (IS_RECORDED -> ORDER_AGE : 0); boundWait[1] = (IS_RECORDED -> ORDER_WAIT : 0);
#endif
       forget(0)
     }
  :: d_step { IS_ACTIVE(o) && unit[o] == IDLE && known[o] != 0 && start[o] == NONE && number[o] < STARTS &&
       IS_SETTLED(o) ->
       giveLease(o);
       unit[o] = ORDERED; number[o]++; revoked[o] = false;
       startClock[o] = CLOCK(known[o]); startLeft[o] = DELAY; startToken[o] = token[o];
       boundAge[o] = MAX(boundAge[o], orderAge[o]); boundWait[o] = MAX(boundWait[o], orderWait[o]);
       prolong(o);
       orderAge[o] = ORDER_AGE; orderWait[o] = ORDER_WAIT;
       callIsOver[2 * o] = false; callIsOver[2 * o + 1] = false;
       start[o] = SENT;
       if
       :: REACHES(o)
       :: else -> loseStart(o)
       fi
     }
  :: d_step { IS_ACTIVE(o) && start[o] == ANSWERED ->
       if
       :: startToken[o] == token[o] && known[o] != 0 && IS_OF_KNOWN(o, startedBy[o]) ->
          if
          :: unit[o] == ORDERED -> unit[o] = RUNNING; settleOrder(o)
          :: else
          fi
       :: else ->
          leaseEnd[o] = MAX(leaseEnd[o], LONG);
#ifdef NO_IN_FLIGHT /* a lease extension on its way may still prolong the run */
          if
          :: unit[o] == ORDERED -> unit[o] = RUNNING; settleOrder(o)
          :: else
          fi;
#else
          unit[o] = (unit[o] == ORDERED -> OPEN : unit[o]);
#endif
          if
          :: startToken[o] == token[o] && known[o] != 0 -> raiseToken(o)
          :: else
          fi
       fi;
       endStart(o)
     }
  :: d_step { IS_ACTIVE(o) && start[o] == LOST ->
       unit[o] = (unit[o] == ORDERED -> OPEN : unit[o]); endStart(o)
     }
  /* The pending call, with a lease or without. */
  :: d_step { IS_ACTIVE(o) && call[2 * o] == NONE && known[o] != 0 ->
       giveLease(o);
       prolong(o);
       callClock[2 * o] = CLOCK(known[o]); callLeft[2 * o] = DELAY; callToken[2 * o] = token[o];
       callIsSettled[2 * o] = true; callIsOver[2 * o] = (IS_ORDER_OVER(o) && IS_BOUND(o));
       call[2 * o] = SENT;
       if
       :: REACHES(o)
       :: else -> loseCall(o)
       fi
     }
  :: d_step { IS_ACTIVE(o) && call[2 * o] == NONE ->
       callToken[2 * o] = token[o]; callIsSettled[2 * o] = true;
       callIsOver[2 * o] = (IS_ORDER_OVER(o) && IS_BOUND(o)); callIsAfter[2 * o] = HAS_LEASE_ENDED(o);
       call[2 * o] = SENT
     }
  :: d_step { IS_ACTIVE(o) && call[2 * o] == ANSWERED -> readList(o, 2 * o) }
  :: d_step { IS_ACTIVE(o) && call[2 * o] == LOST ->
       failed[o] = (failed[o] || (callIsAfter[2 * o] && HAS_LEASE_ENDED(o)));
       endCall(2 * o)
     }
  /* A call that only opens a connection; its list counts if it is of another incarnation. */
  :: d_step { IS_ACTIVE(o) && MAY_CONNECT && call[2 * o + 1] == NONE ->
       callToken[2 * o + 1] = token[o]; callIsSettled[2 * o + 1] = true;
       callIsOver[2 * o + 1] = (IS_ORDER_OVER(o) && IS_BOUND(o)); call[2 * o + 1] = SENT
     }
  :: d_step { IS_ACTIVE(o) && call[2 * o + 1] == ANSWERED ->
       if
       :: listedBy[2 * o + 1] != known[o] -> readList(o, 2 * o + 1)
       :: else -> endCall(2 * o + 1)
       fi
     }
  /* The minion is told to refuse an unanswered start, and to end its run. */
  :: d_step { IS_ACTIVE(o) && unit[o] == OPEN && known[o] != 0 && REACHES(o) && !IS_FENCED(o, token[o]) ->
       revoke(o);
       if
       :: IS_OF_KNOWN(o, incarnation) -> revoked[o] = true; settle(o)
       :: else -> raiseToken(o)
       fi
     }
  :: d_step { IS_ACTIVE(o) && unit[o] == OPEN && known[o] != 0 && REACHES(o) && !IS_FENCED(o, token[o]) ->
       revoke(o) /* no answer */
     }
  :: d_step { IS_ACTIVE(o) && !IS_BOUND(o) &&
       ((unit[o] == IDLE && IS_SETTLED(o)) || ((unit[o] == RUNNING || unit[o] == OPEN) && IS_LOST(o))) ->
       assert(activeRun == 0); /* never two runs at once */
       elsewhere = true;
       lease = 0;
       forget(0);
       forget(1)
     }
  od
}
