/* The availability budget of one service, and the pool of each VM.
 *
 * Stands for src/process/fleet/BudgetLedger.cpp and VmLifeCycle.cpp. Any controller may decide on
 * any step from the rows that it has read, be paused, and send its write any time later; the answer
 * of a write may be lost, since a controller learns what became of it by reading only. A write says
 * which rows it checks; a check holds while nobody else has written the row in between. VMs are
 * seen down and up again at any time, and move between the service's pool and another.
 *
 * Planned steps must never take the VMs that are out, planned and down together, above what the
 * budget allows. The ledger must say what the VM rows say: nothing is lost or counted twice.
 */

#ifndef VMS
#define VMS 2
#endif
#ifndef CONTROLLERS
#define CONTROLLERS 2
#endif
#define ALLOWED 1 /* most VMs out by planned steps, the failure reserve taken off */

/* Events. */
#define BEGIN 1       /* take a VM out for a reboot */
#define BEGIN_MOVE 2  /* ... for a move to the other pool */
#define CHANGE_POOL 3 /* the write between stop and start of a move */
#define FINISH 4      /* the VM is back */
#define SET_DOWN 5    /* the VM was seen down */
#define SET_UP 6      /* the VM was seen up again */

/* VM rows: sets of VMs as bits. */
byte out = 0;     /* an operation is under way */
byte down = 0;
byte other = 0;   /* belongs to the other pool */
byte moving = 0;  /* the operation is a move whose pool has not been changed yet */
byte joining = 0; /* the operation is a move whose pool has been changed */

/* The ledger row of the service. */
byte planned = 0;
byte counted = 0; /* VMs that are down, as the ledger counts them */

/* Writes on their way, one of each controller. */
byte kind[CONTROLLERS];
byte target[CONTROLLERS];
bool vmHolds[CONTROLLERS];     /* nobody wrote the VM's row since it was read */
bool ledgerHolds[CONTROLLERS]; /* nobody wrote the ledger since it was read */
bool hasLedger[CONTROLLERS];   /* the write touches the ledger */
byte newPlanned[CONTROLLERS];
byte newCounted[CONTROLLERS];

#define BIT(v) (1 << (v))
#define HAS(set, v) (((set) & BIT(v)) != 0)
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))
#define IN_SERVICE(v) (!HAS(other, v) && !HAS(joining, v))

#ifdef NO_COUNT_DOWN
#define OUT_COUNT COUNT(planned)
#else
#define OUT_COUNT COUNT(planned | counted)
#endif

#ifdef NO_BUDGET
#define MAY_BEGIN(v) true
#else
#define MAY_BEGIN(v) (HAS(other, v) || HAS(counted, v) || OUT_COUNT + 1 <= ALLOWED)
#endif

#ifdef NO_LEDGER_CHECK
#define LEDGER_OK(w) true
#else
#define LEDGER_OK(w) (!hasLedger[w] || ledgerHolds[w])
#endif
#ifdef NO_VM_CHECK
#define VM_OK(w) true
#else
#define VM_OK(w) vmHolds[w]
#endif

inline clear(w)
{
  kind[w] = 0;
  target[w] = 0;
  vmHolds[w] = false;
  ledgerHolds[w] = false;
  hasLedger[w] = false;
  newPlanned[w] = 0;
  newCounted[w] = 0
}

/* A controller decides on an event from the rows as they are now. */
inline decide(event, vm)
{
  kind[w] = event;
  target[w] = vm;
  vmHolds[w] = true;
  ledgerHolds[w] = true;
  hasLedger[w] = IN_SERVICE(vm) || event == FINISH && !HAS(other, vm);
  newPlanned[w] = planned;
  newCounted[w] = counted;
  if
  :: !hasLedger[w]
  :: hasLedger[w] && (event == BEGIN || event == BEGIN_MOVE) ->
    newPlanned[w] = planned | BIT(vm)
  :: hasLedger[w] && (event == CHANGE_POOL || event == FINISH) ->
    newPlanned[w] = planned & ~BIT(vm);
    newCounted[w] = counted & ~BIT(vm)
  :: hasLedger[w] && event == SET_DOWN -> newCounted[w] = counted | BIT(vm)
  :: hasLedger[w] && event == SET_UP -> newCounted[w] = counted & ~BIT(vm)
  fi
}

/* The rows' versions grow: other writes that checked them no longer hold. */
inline write_rows(w)
{
  i = 0;
  do
  :: i < CONTROLLERS ->
    vmHolds[i] = vmHolds[i] && target[i] != target[w];
    ledgerHolds[i] = ledgerHolds[i] && !hasLedger[w];
#if !defined(NO_VM_CHECK) && !defined(NO_LEDGER_CHECK)
    /* What a write that cannot succeed would have written does not matter: fewer states. */
    if
    :: i != w && (!vmHolds[i] || hasLedger[i] && !ledgerHolds[i]) ->
      newPlanned[i] = 0;
      newCounted[i] = 0
    :: else
    fi;
#endif
    i++
  :: else -> break
  od;
  i = 0
}

inline commit(w)
{
  mask = BIT(target[w]);
  before = COUNT(planned | counted);
  if
  :: kind[w] == BEGIN -> out = out | mask
  :: kind[w] == BEGIN_MOVE ->
    out = out | mask;
    moving = moving | mask
  :: kind[w] == CHANGE_POOL ->
    assert((out & moving & mask) != 0);
    moving = moving & ~mask;
    joining = joining | mask;
    other = other ^ mask
  :: kind[w] == FINISH ->
    out = out & ~mask;
    joining = joining & ~mask;
    down = down & ~mask
  :: kind[w] == SET_DOWN -> down = down | mask
  :: kind[w] == SET_UP -> down = down & ~mask
  fi;
  if
  :: hasLedger[w] ->
    planned = newPlanned[w];
    counted = newCounted[w]
  :: else
  fi;
  after = COUNT(planned | counted);
  assert((kind[w] != BEGIN && kind[w] != BEGIN_MOVE) || after <= before || after <= ALLOWED);
#ifndef BUDGET_ONLY
  assert(planned == (out & ~other & ~joining));
  assert(counted == (down & ~other & ~joining));
#endif
  write_rows(w);
  mask = 0;
  before = 0;
  after = 0
}

/* What controller w may decide about VM v. */
#define IS_FREE (kind[w] == 0)
#define DECIDE_BEGIN(v, event) IS_FREE && !HAS(out, v) && MAY_BEGIN(v) -> decide(event, v)
#define DECIDE_CHANGE(v) IS_FREE && HAS(moving, v) -> decide(CHANGE_POOL, v)
#define DECIDE_FINISH(v) IS_FREE && HAS(out, v) && !HAS(moving, v) -> decide(FINISH, v)
#define DECIDE_DOWN(v) IS_FREE && !HAS(down, v) && !HAS(joining, v) -> decide(SET_DOWN, v)
#define DECIDE_UP(v) IS_FREE && HAS(down, v) && !HAS(joining, v) -> decide(SET_UP, v)

/* Controller w decides, is paused, writes, and starts again from the rows. */
proctype Controller(byte w)
{
  byte i = 0;
  byte mask = 0;
  byte before = 0;
  byte after = 0;

end:
  do
  :: d_step { DECIDE_BEGIN(0, BEGIN) }
  :: d_step { DECIDE_BEGIN(0, BEGIN_MOVE) }
  :: d_step { DECIDE_CHANGE(0) }
  :: d_step { DECIDE_FINISH(0) }
  :: d_step { DECIDE_DOWN(0) }
  :: d_step { DECIDE_UP(0) }
  :: d_step { DECIDE_BEGIN(1, BEGIN) }
  :: d_step { DECIDE_BEGIN(1, BEGIN_MOVE) }
  :: d_step { DECIDE_CHANGE(1) }
  :: d_step { DECIDE_FINISH(1) }
  :: d_step { DECIDE_DOWN(1) }
  :: d_step { DECIDE_UP(1) }
#if VMS > 2
  :: d_step { DECIDE_BEGIN(2, BEGIN) }
  :: d_step { DECIDE_BEGIN(2, BEGIN_MOVE) }
  :: d_step { DECIDE_CHANGE(2) }
  :: d_step { DECIDE_FINISH(2) }
  :: d_step { DECIDE_DOWN(2) }
  :: d_step { DECIDE_UP(2) }
#endif

  /* The write takes effect, or loses its race, or is lost. */
  :: d_step { !IS_FREE && VM_OK(w) && LEDGER_OK(w) -> commit(w); clear(w) }
  :: d_step { !IS_FREE -> clear(w) }
  od
}

init
{
  byte c = 0;
  atomic {
    for (c : 0 .. CONTROLLERS - 1) {
      run Controller(c)
    }
    c = 0
  }
}
