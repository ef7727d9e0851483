/*
 * The lease for orders to engines.
 *
 * Two candidates share one lease object with compare-and-set. Time is a
 * counter; a candidate may be paused at any point. Engine 0 enforces fencing
 * numbers, engine 1 ignores them. An order is under way for at most ORDER, and
 * a write takes effect up to one unit after it was issued.
 *
 * Checked: no engine takes an order with an older number than it has seen.
 * With -DFREEZE a holder may also be paused between its look at the clock and
 * its sending; then only the enforcing engine is safe, and the other relies on
 * repair, as docs/DESIGN.md states.
 *
 * Mutants: -DNO_WAIT lets a successor take over without waiting out the lease,
 * -DNO_CLOCK lets a holder order without looking at its clock, and
 * -DFREEZE -DNO_FENCE makes engine 0 ignore numbers.
 *
 * Bounds: 2 candidates, time up to MAXT, versions up to MAXV.
 */
#define TTL   3
#define STOP  1
#define ORDER 1
#ifdef FREEZE
#define MAXT  8
#else
#define MAXT  9
#endif
#define MAXV  4

byte now = 0;

/* The lease object and what each version of it says. */
byte version = 0;
byte holderof[6];
byte fenceof[6];

/* The largest number that each engine has taken, and one order under way to
 * each: its number, zero for none, and the time by which it has arrived. */
byte seen[2];
byte flight[2];
byte flightby[2];

/* What each candidate knows: a version, since when, and until when it may
 * give orders, zero for not holding. */
byte known[2];
byte seenat[2];
byte validtil[2];
bool looked[2];

#ifdef NO_WAIT
#define MAYTAKE(me) (true)
#else
#define MAYTAKE(me) (validtil[me] > 0 || known[me] == 0 || now - seenat[me] >= TTL + ORDER)
#endif
#ifdef NO_CLOCK
#define MAYORDER(me) (validtil[me] > 0)
#else
#define MAYORDER(me) (validtil[me] > 0 && now < validtil[me])
#endif

proctype Clock() {
  do
  :: d_step {
       now < MAXT && (flight[0] == 0 || now < flightby[0]) && (flight[1] == 0 || now < flightby[1]) ->
       now++
     }
  :: now >= MAXT -> break
  od
}

proctype Network() {
  do
  :: d_step { flight[0] > 0 ->
       if
       :: flight[0] >= seen[0] -> seen[0] = flight[0]
       :: else ->
#ifdef NO_FENCE
          assert(false)
#else
          skip /* refused */
#endif
       fi;
       flight[0] = 0; flightby[0] = 0
     }
  :: d_step { flight[1] > 0 ->
       if
       :: flight[1] >= seen[1] -> seen[1] = flight[1]
       :: else ->
#ifdef FREEZE
          skip /* the rest that only repair covers */
#else
          assert(false)
#endif
       fi;
       flight[1] = 0; flightby[1] = 0
     }
  :: now >= MAXT && flight[0] == 0 && flight[1] == 0 -> break
  od
}

inline send(me, e) {
  flight[e] = fenceof[known[me]]; flightby[e] = now + ORDER
}

proctype Candidate(byte me) {
  do
  :: now >= MAXT -> break
  :: d_step { version != known[me] -> /* read */
       known[me] = version; seenat[me] = now;
       if
       :: holderof[version] != me -> validtil[me] = 0; looked[me] = false
       :: else -> skip
       fi
     }
  :: atomic { version < MAXV && MAYTAKE(me) -> /* take or renew */
       if
       :: version == known[me] ->
          version++;
          holderof[version] = me;
          fenceof[version] = fenceof[version - 1] + (validtil[me] > 0 -> 0 : 1);
          known[me] = version; seenat[me] = now;
          if
          :: validtil[me] = now + TTL - STOP
          :: now > 0 -> validtil[me] = now + TTL - STOP - 1 /* issued earlier */
          fi
       :: else -> validtil[me] = 0; looked[me] = false
       fi
     }
#ifdef FREEZE
  :: d_step { !looked[me] && MAYORDER(me) -> looked[me] = true }
  :: d_step { looked[me] && validtil[me] > 0 && flight[0] == 0 -> looked[me] = false; send(me, 0) }
  :: d_step { looked[me] && validtil[me] > 0 && flight[1] == 0 -> looked[me] = false; send(me, 1) }
#else
  :: d_step { MAYORDER(me) && flight[0] == 0 -> send(me, 0) }
  :: d_step { MAYORDER(me) && flight[1] == 0 -> send(me, 1) }
#endif
  od
}

init { atomic { run Clock(); run Network(); run Candidate(0); run Candidate(1) } }
