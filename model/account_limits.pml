/* The limit of one client account over two shards, divided by the holder of the machine orders.
 *
 * Stands for src/job/AllowanceBook.cpp (owners) and src/job/AllowancePlanner.cpp (holder). Grants and
 * reports are lost, late or repeated at any step. The owner of shard 0 dies once: its units run on
 * and its successor hears of them one by one. The holder dies once: the next one knows nothing. The
 * limit is lowered once. TAKEOVER, NEW_HOLDER and LOWER switch these events on. The holder may choose any division, so the model does not depend on the
 * rule of distribution, except that basic allowances stay: with CUT_BASIC, an owner that takes over has
 * its basic allowance although the former one had less, an excess that the design note accepts.
 *
 * What runs must never exceed the limit. After it has been lowered, this holds from the time on at
 * which the holder's charges fit the new limit.
 */

#ifndef LIMIT
#define LIMIT 3
#endif
#define LOWERED 2
#define BASIC 1 /* allowance without a grant */
#ifndef MESSAGES
#define MESSAGES 3 /* grants of a holder to a shard */
#endif
#define NONE 9 /* a message without an allowance */
#define MAX(a, b) (a > b -> a : b)

/* Owners. */
byte owner[2] = 1;
byte granted[2] = NONE; /* allowance from a holder */
bool recovering[2];
byte running[2];  /* units that the owner knows */
byte unheard[2];  /* units of earlier owners that it does not know */
byte fromHolder[2], fromSequence[2]; /* of the grant in force */

/* Holder. */
byte holder = 1;
byte limit = LIMIT;
byte bound = LIMIT; /* of what may run */
bool isLowered;
byte upper[2] = BASIC; /* largest allowance that the owner may have */
byte next[2];          /* planned allowance */
byte used[2], inherited[2], ofOwner[2], sequence[2];
bool answered[2], known[2];

/* One grant (TWO_SLOTS: two for shard 0) and one report in flight for each shard. */
byte gHolder[4], gSequence[4], gOwner[4], gAllowance[4];
byte rHolder[2], rSequence[2], rOwner[2], rAllowance[2], rUsed[2];
bool rRecovering[2];

byte s, m, n;

#define TOTAL (running[0] + unheard[0] + running[1] + unheard[1])
#define CHARGE(i) MAX(inherited[i] + upper[i], used[i])

#ifdef NO_RECOVERY
#define ALLOWANCE(i) (granted[i] == NONE -> BASIC : granted[i])
#else
#define ALLOWANCE(i) (granted[i] == NONE -> (recovering[i] -> 0 : BASIC) : granted[i])
#endif

#ifdef NO_KNOWN
#define CAN_GRANT (ofOwner[s] > 0)
#else
#define CAN_GRANT (known[0] && known[1] && ofOwner[s] > 0)
#endif

#ifdef NO_SEQUENCE
#define IS_NEWER(h, q) (h >= fromHolder[s])
#else
#ifdef NO_HOLDER
#define IS_NEWER(h, q) (q > fromSequence[s])
#else
#define IS_NEWER(h, q) (h > fromHolder[s] || (h == fromHolder[s] && q > fromSequence[s]))
#endif
#endif

#ifdef NO_OWNER
#define IS_FOR(o) true
#else
#define IS_FOR(o) (o == owner[s])
#endif

#ifdef NO_REPORT_CHECK
#define IS_CURRENT (rHolder[s] == holder && rOwner[s] >= ofOwner[s])
#else
#define IS_CURRENT (rHolder[s] == holder && rSequence[s] == sequence[s] && !answered[s] && \
                    rOwner[s] >= ofOwner[s])
#endif

#ifdef NO_LOWERED
#define FITS (CHARGE(0) + CHARGE(1) <= LIMIT)
#else
#define FITS (CHARGE(0) + CHARGE(1) <= limit)
#endif

inline send(allowance)
{
  sequence[s]++;
  answered[s] = false;
  gHolder[m] = holder;
  gSequence[m] = sequence[s];
  gOwner[m] = ofOwner[s];
  gAllowance[m] = allowance
}

/* The owner applies the grant in slot m and reports. */
inline receive()
{
  if
  :: IS_NEWER(gHolder[m], gSequence[m]) ->
    fromHolder[s] = gHolder[m];
    fromSequence[s] = gSequence[m];
    if
    :: gAllowance[m] != NONE && IS_FOR(gOwner[m]) -> granted[s] = gAllowance[m]
    :: else
    fi
  :: else
  fi;
  rHolder[s] = fromHolder[s];
  rSequence[s] = fromSequence[s];
  rOwner[s] = owner[s];
  rAllowance[s] = (granted[s] == NONE -> BASIC : granted[s]);
  rUsed[s] = running[s];
  rRecovering[s] = recovering[s]
}

inline handle_report()
{
  answered[s] = true;
  if
  :: rOwner[s] != ofOwner[s] ->
    ofOwner[s] = rOwner[s];
    next[s] = 0;
#ifndef NO_INHERITED
    inherited[s] = (rRecovering[s] -> CHARGE(s) : 0)
#endif
  :: else
  fi;
  if
  :: !rRecovering[s] -> known[s] = true; inherited[s] = 0
  :: else
  fi;
  used[s] = rUsed[s];
  upper[s] = MAX(rAllowance[s], next[s])
}

inline clear_report()
{
  rHolder[s] = 0;
  rSequence[s] = 0;
  rOwner[s] = 0;
  rAllowance[s] = 0;
  rUsed[s] = 0;
  rRecovering[s] = false
}

active proctype System()
{
  do
  :: atomic {
      /* A choice of the shard and of a slot for its grants. */
      s = 0; m = 0; n = 0;
      if :: s = 0 :: s = 1 fi;
#ifdef TWO_SLOTS
      if :: m = 2 * s :: s == 0 -> m = 1 fi;
#else
      m = 2 * s;
#endif
      if
      :: sequence[s] < MESSAGES -> send(NONE)
      :: sequence[s] < MESSAGES && CAN_GRANT ->
        if
        :: n = BASIC :: n = 2 :: n = 3
#ifdef CUT_BASIC
        :: n = 0
#endif
        fi;
        if
        :: n <= upper[s] ->
          next[s] = n;
#ifdef NO_ACK
          upper[s] = n;
#endif
          send(n)
        :: n > upper[s] ->
          m = m + 8 * upper[s]; /* Kept in case the raise does not fit. */
          upper[s] = n;
          if
          :: FITS -> m = m % 8; next[s] = n; send(n)
          :: else -> upper[s] = m / 8; m = m % 8
          fi
        fi
      :: gHolder[m] > 0 -> receive() /* It may arrive again. */
      :: gHolder[m] > 0 -> gHolder[m] = 0; gSequence[m] = 0; gOwner[m] = 0; gAllowance[m] = 0
      :: rHolder[s] > 0 && IS_CURRENT -> handle_report()
      :: rHolder[s] > 0 -> clear_report()
      :: running[s] < ALLOWANCE(s) -> running[s]++
      :: running[s] > 0 -> running[s]--
      :: unheard[s] > 0 -> unheard[s]--
      :: unheard[s] > 0 -> unheard[s]--; running[s]++
      :: unheard[s] == 0 && recovering[s] -> recovering[s] = false
#ifdef TAKEOVER
      :: s == 0 && owner[0] == 1 ->
        owner[0] = 2;
        unheard[0] = running[0];
        running[0] = 0;
        recovering[0] = true;
        granted[0] = NONE;
        fromHolder[0] = 0;
        fromSequence[0] = 0
#endif
#ifdef NEW_HOLDER
      :: holder == 1 ->
        holder = 2;
        upper[0] = BASIC; upper[1] = BASIC;
        next[0] = 0; next[1] = 0;
        used[0] = 0; used[1] = 0;
        inherited[0] = 0; inherited[1] = 0;
        ofOwner[0] = 0; ofOwner[1] = 0;
        sequence[0] = 0; sequence[1] = 0;
        answered[0] = false; answered[1] = false;
        known[0] = false; known[1] = false;
        bound = LIMIT /* Its charges are not known. */
#endif
#ifdef LOWER
      :: !isLowered -> isLowered = true; limit = LOWERED
#endif
      :: else /* Nothing can happen in this shard. */
      fi;
      if
      :: known[0] && known[1] && CHARGE(0) + CHARGE(1) <= limit -> bound = limit
      :: else
      fi;
      assert(TOTAL <= bound);
      s = 0; m = 0; n = 0
    }
  od
}
