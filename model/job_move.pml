/* Moves of a job between two shards, of which shard 0 is its home.
 *
 * Stands for src/node/PoolOwnerMoves.cpp and PoolScheduler::CanMove().
 *
 * A transaction changes the rows of one shard. Owners change at any time, and the next one knows only
 * the rows. A handover that was sent may arrive at any time, any number of times, also after the end of
 * its sender, and so may its answer. A job that was accepted once is in exactly one shard, can be found
 * from its home, has one run at a time and none after its end.
 *
 * Each NO_... switch removes one rule.
 */

#ifndef MOVES
#define MOVES 3
#endif
#ifndef TAKEOVERS
#define TAKEOVERS 2
#endif

/* What the owner of a shard knows of the job. */
#define NONE 0
#define HERE 1
#define MOVING 2
#define FORWARDED 3

#define ABSENT 255

#ifdef NO_IDLE
#define IS_IDLE(s) true
#else
#define IS_IDLE(s) !isRunning[s]
#endif
#ifdef NO_SAVED
#define IS_SAVED(s) true
#else
#define IS_SAVED(s) !isUnsaved[s]
#endif
#ifdef NO_FORMER_MOVE
#define WAITS_FOR_FORMER false
#else
#define WAITS_FOR_FORMER true
#endif
#ifdef NO_MOVE_NUMBER
#define IS_PASSED_ON(s, m) false
#else
#define IS_PASSED_ON(s, m) (forwardMoves[s] >= m)
#endif

byte mem[2];

/* Rows: the job with the number of its moves and whether its unit is done; the forward. */
byte jobMoves[2];
bool jobDone[2];
byte forwardMoves[2]; /* 0: there is none */
bool forwardDone[2];

/* Handovers that were sent, by the number of the move; their answers. */
bool sent[MOVES + 2];
bool sentDone[MOVES + 2]; /* the progress that it carries */
byte sentTo[MOVES + 2];
bool answered[MOVES + 2];

bool isRunning[2];
bool isUnsaved[2]; /* the unit has ended, which its owner has not stored */
bool isDone;
byte takeovers;
bool isAccepted; /* the job is in its home */

inline load(s)
{
  if
  :: jobMoves[s] == ABSENT ->
     if
     :: forwardDone[s] -> mem[s] = FORWARDED
     :: else -> mem[s] = NONE
     fi
  :: jobMoves[s] != ABSENT && forwardMoves[s] > jobMoves[s] && forwardDone[s] ->
     jobMoves[s] = ABSENT;
     mem[s] = FORWARDED
  :: jobMoves[s] != ABSENT && forwardMoves[s] > jobMoves[s] && !forwardDone[s] -> mem[s] = MOVING
  :: else -> mem[s] = HERE
  fi
}

inline check()
{
  /* Not lost: some shard has it. Not accepted again: its home knows it. */
  assert(mem[0] == HERE || mem[0] == MOVING || mem[1] == HERE || mem[1] == MOVING);
  assert(mem[0] != NONE);
  /* Each shard that could run it is the only one. */
  assert(!(mem[0] == HERE && mem[1] == HERE))
}

active [2] proctype Shard()
{
  byte s = _pid;
  byte m;
  isAccepted;
end:
  do
  /* The unit runs. */
  :: atomic { mem[s] == HERE && !isRunning[s] && !isUnsaved[s] && !jobDone[s] ->
       assert(!isRunning[1 - s]);
       assert(!isDone);
       isRunning[s] = true }
  :: atomic { isRunning[s] -> isRunning[s] = false; isDone = true; isUnsaved[s] = true }
  :: atomic { isUnsaved[s] && mem[s] != NONE && mem[s] != FORWARDED ->
       isUnsaved[s] = false; jobDone[s] = true }
  /* The move begins. */
  :: atomic { mem[s] == HERE && jobMoves[s] < MOVES && IS_IDLE(s) && IS_SAVED(s) ->
#ifndef NO_BEGIN_ROW
       forwardMoves[s] = jobMoves[s] + 1;
       forwardDone[s] = false;
#endif
       mem[s] = MOVING }
  :: atomic { mem[s] == MOVING ->
       m = jobMoves[s] + 1;
       sent[m] = true;
       sentDone[m] = jobDone[s];
       sentTo[m] = 1 - s;
       m = 0 }
  /* A handover arrives here. */
  :: atomic {
       if
       :: sent[1] && sentTo[1] == s -> m = 1
       :: sent[2] && sentTo[2] == s -> m = 2
       :: sent[3] && sentTo[3] == s -> m = 3
       fi;
       if
       :: mem[s] == HERE || IS_PASSED_ON(s, m) || (mem[s] == MOVING && !WAITS_FOR_FORMER) ->
          answered[m] = true
       /* It has come back before the answer to its former move: the sender asks again. */
       :: mem[s] == MOVING && !IS_PASSED_ON(s, m) && WAITS_FOR_FORMER -> skip
       :: else ->
          jobMoves[s] = m;
          jobDone[s] = sentDone[m];
          mem[s] = HERE;
          answered[m] = true
       fi;
       m = 0;
       check() }
  /* The answer arrives: the forward is written, and the job's rows are removed not before that. */
  :: atomic { mem[s] == MOVING && answered[jobMoves[s] + 1] ->
#ifdef NO_ORDER
       forwardMoves[s] = jobMoves[s] + 1;
       jobMoves[s] = ABSENT;
#else
       forwardMoves[s] = jobMoves[s] + 1;
       forwardDone[s] = true;
#endif
       mem[s] = FORWARDED }
  :: atomic { mem[s] == FORWARDED && !forwardDone[s] -> forwardDone[s] = true }
  :: atomic { mem[s] == FORWARDED && forwardDone[s] && jobMoves[s] != ABSENT ->
       jobMoves[s] = ABSENT }
  /* The owner is replaced. */
  :: atomic { takeovers < TAKEOVERS ->
       takeovers++;
       load(s);
       check() }
  od
}

init
{
  atomic {
    jobMoves[0] = 0;
    jobMoves[1] = ABSENT;
    mem[0] = HERE;
    isAccepted = true
  }
}
