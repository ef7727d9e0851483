/*
 * Claims of a key that may run at most once.
 *
 * Two instances may both believe that they own the ledger of a key. The ledger
 * is one object with compare-and-set. A write may take effect while its reply
 * is lost; the writer then reads back and looks for its write id. A new owner
 * fences the ledger by a write before it grants anything, and an owner may
 * lose its standing at any time without noticing. Callers send the key to
 * either instance. A granted request runs.
 *
 * Checked: the key runs at most once.
 *
 * Mutants: -DNO_FENCE lets an owner grant on what it read, without its fencing
 * write and without a conditional update; -DGUESS takes a lost reply for a
 * failed write, forgets it, and writes again unconditionally.
 *
 * Bounds: 2 instances, at most MAXV writes, CALLS calls with the key.
 */
#define MAXV  9
#define CALLS 4
#define NONE  0

byte version = 0;
byte claimer = NONE;
byte writer = NONE;      /* write id of the present version */
byte writes = 0;         /* for unique write ids */
byte runs = 0;
byte calls = 0;

inline execute() { runs++; assert(runs <= 1) }

proctype Owner() {
  bool ready = false;
  byte known = 0;
  byte localclaim = NONE;
  byte id = 0;
  do
  :: version >= MAXV -> break
  :: d_step { !ready && id == 0 && version < MAXV -> known = version; localclaim = claimer; id = 255 } /* read */
  :: d_step { !ready && id == 255 -> /* fence */
       id = 0;
#ifdef NO_FENCE
       ready = true
#else
       if
       :: version == known -> version++; writes++; writer = writes; known = version; ready = true
       :: else -> skip
       fi
#endif
     }
  :: d_step { ready && id == 0 -> ready = false } /* its view changes */
  :: atomic { ready && id == 0 && calls < CALLS && localclaim == NONE -> /* claim and write */
       calls++; writes++; id = writes;
#ifdef NO_FENCE
       version++; claimer = calls; writer = id
#else
       if
       :: version == known -> version++; claimer = calls; writer = id
       :: else -> skip
       fi
#endif
     }
  :: atomic { ready && id > 0 && id < 255 -> /* the reply, or its loss */
       if
       :: writer == id -> /* it arrives: the write took effect */
          known = version; localclaim = claimer; id = 0; execute()
       :: writer != id -> /* it arrives: conflict, or another wrote since */
#ifdef NO_FENCE
          known = version; localclaim = claimer; id = 0; execute()
#else
          ready = false; id = 0
#endif
       :: true -> /* it is lost: read back */
#ifdef GUESS
          id = 0; localclaim = NONE; known = version;
          writes++; version++; claimer = calls; writer = writes; execute();
          ready = false
#else
          if
          :: writer == id -> known = version; localclaim = claimer; id = 0; execute()
          :: else -> ready = false; id = 0
          fi
#endif
       fi
     }
  od
}

init { atomic { run Owner(); run Owner() } }
