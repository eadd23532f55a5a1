/* Takeover of a pool: one work unit, two minions, a former owner (0) and its successor (1). Orders are
   lost, or carried out at any later time; minions are cut off from either owner at any time; the former
   owner is paused at any step. Time is abstract: leaseEnded says that the former owner's node lease is
   over, workEnded[m] that every lease that it could have given to work on minion m is over.
   Each -DNO_... removes one rule. */

#define IDLE 0
#define ORDERED 1 /* a start was sent and is not settled */
#define RUNNING 2
#define DONE 3

bool leaseEnded = false;
bool claimed = false;      /* the owner row names the successor */
bool workEnded[2] = false; /* minion m ends work of the former owner and refuses its late orders */
bool fenced[2] = false;    /* minion m has seen the successor's token */
bool heard[2] = false;     /* the successor has minion m's lists */
bool inFlight[4] = false;  /* a start by owner o to minion m: index 2 * o + m */
bool stopped[4] = false;   /* such a start was revoked at the minion */
bool beyond[2] = false;    /* a start was sent after the lease, so it is valid for longer */
byte runs[2] = 0;          /* 0: nothing runs; else owner + 1 */
bool endListed[2] = false;
bool saved = false;        /* the store has the unit's end */
bool acknowledged = false; /* a minion was told to forget the end */
byte state[2] = IDLE;      /* the unit, as each owner sees it */
byte place[2] = 0;         /* where that owner started it */

#ifdef NO_FENCE
#define IS_FENCED(o, m) false
#else
#define IS_FENCED(o, m) (o == 0 && fenced[m])
#endif
#ifdef NO_VALIDITY
#define IS_LATE(o, m) false
#else
#define IS_LATE(o, m) (o == 0 && workEnded[m] && !beyond[m])
#endif
#ifdef NO_LEASE
#define MAY_ACT true
#else
#define MAY_ACT (!leaseEnded)
#endif
#ifdef NO_UNHEARD
#define IS_SETTLED(m) true
#else
#define IS_SETTLED(m) (heard[m] || workEnded[m])
#endif

inline begin(o, m) {
  assert(runs[0] == 0 && runs[1] == 0); /* never two runs at once */
  assert(!acknowledged);                /* never a run after an end that counts */
  runs[m] = o + 1
}

/* The network delivers a start, now or much later, or loses it. */
active proctype Network() {
  byte o, m;
  do
  :: select(o : 0 .. 1); select(m : 0 .. 1);
     atomic {
       if
       :: inFlight[2 * o + m] ->
          inFlight[2 * o + m] = false;
          if
          :: true /* lost */
          :: true ->
             if
             :: IS_FENCED(o, m) || IS_LATE(o, m) || stopped[2 * o + m] || runs[m] == o + 1 || endListed[m]
             :: else -> begin(o, m)
             fi
          fi
       :: else
       fi
     }
  od
}

/* Work ends by itself, and leases run out. */
active proctype Minions() {
  byte m;
  do
  :: select(m : 0 .. 1);
     atomic {
       if
       :: runs[m] != 0 -> runs[m] = 0; endListed[m] = true
       /* The former owner extends leases only while its own is valid. */
       :: leaseEnded && !workEnded[m] -> workEnded[m] = true;
          if
          :: runs[m] == 1 && !fenced[m] -> runs[m] = 0
          :: else
          fi
       :: else
       fi
     }
  :: atomic { !leaseEnded -> leaseEnded = true }
  od
}

active proctype Former() {
  byte m;
  do
  :: select(m : 0 .. 1);
     atomic {
       if
       :: state[0] == IDLE && !saved && MAY_ACT ->
          beyond[m] = leaseEnded; inFlight[m] = true; stopped[m] = false; state[0] = ORDERED; place[0] = m
       :: state[0] == ORDERED && runs[place[0]] == 1 -> state[0] = RUNNING
#ifndef NO_SETTLE
       /* An unanswered start is revoked at its minion before the unit starts elsewhere. */
       :: state[0] == ORDERED && runs[place[0]] != 1 && !endListed[place[0]] ->
          stopped[place[0]] = true; state[0] = IDLE
#else
       :: state[0] == ORDERED -> state[0] = IDLE
#endif
       :: state[0] != DONE && endListed[place[0]] && !fenced[place[0]] ->
#ifndef NO_OWNER_CHECK
          if
          :: !claimed -> saved = true; state[0] = DONE
          :: else -> state[0] = DONE /* the write fails: the pool is another's */
          fi
#else
          state[0] = DONE; acknowledged = true /* told to forget before, or without, the store */
#endif
       :: state[0] == DONE && saved && !fenced[place[0]] -> acknowledged = true
       :: else
       fi
     }
  od
}

active proctype Successor() {
  byte m;
  bool known = false; /* it has read the store */
#ifndef NO_WAIT
  (leaseEnded);
#endif
  atomic { claimed = true }
  atomic { known = saved }
  if
  :: known -> state[1] = DONE
  :: else
  fi;
  do
  :: select(m : 0 .. 1);
     atomic {
       if
       :: !heard[m] -> /* the lists of a minion, under the new token */
          heard[m] = true; fenced[m] = true;
          if
#ifndef NO_ADOPT
          :: runs[m] != 0 -> state[1] = RUNNING; place[1] = m
          /* An end from before a lapse may come when the unit runs elsewhere: allowed, and then stopped. */
          :: runs[m] == 0 && endListed[m] ->
             saved = true; acknowledged = (acknowledged || !workEnded[m]); state[1] = DONE
#endif
          :: runs[m] == 0 && !endListed[m]
#ifdef NO_ADOPT
          :: runs[m] != 0 || endListed[m]
#endif
          fi
       :: heard[m] && state[1] == IDLE && IS_SETTLED(0) && IS_SETTLED(1) -> inFlight[2 + m] = true; state[1] = ORDERED; place[1] = m
       :: state[1] == ORDERED && runs[place[1]] == 2 -> state[1] = RUNNING
       :: state[1] == RUNNING && endListed[place[1]] ->
          saved = true; acknowledged = true; state[1] = DONE
       :: else
       fi
     }
  od
}
