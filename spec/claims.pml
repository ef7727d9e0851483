/*
 * Claims of a key that may run at most once.
 *
 * Two owners may believe that they own the ledger of a key. The ledger is one
 * object with compare-and-set. A write may take effect while its reply is
 * lost; the writer then reads back and looks for its write id. A new owner
 * fences the ledger by a write before it grants anything. Callers repeat the
 * key at any owner. A granted request runs.
 *
 * Checked: the key runs at most once.
 *
 * Mutants: -DNO_FENCE lets an owner grant on what it read, without its fencing
 * write and without a conditional update; -DGUESS treats a lost reply as a
 * failure of the write and tries again under a new id.
 *
 * Bounds: 2 owners, at most MAXV writes, 3 calls with the key.
 */
#define MAXV  7
#define NONE  0

byte version = 0;
byte claimer = NONE;   /* request that holds the key in the ledger */
byte writer = NONE;    /* id of the last write */
byte runs = 0;
byte calls = 0;

proctype Owner(byte me) {
  bool ready = false;      /* fenced the ledger */
  byte known = 0;          /* version known */
  byte localclaim = NONE;  /* claimer as known */
  byte req = NONE;
  byte id;
  byte seq = 0;
  bool lost;
  bool applied;
  do
  :: version >= MAXV -> break
  :: !ready -> /* recover: read, then fence */
     atomic { known = version; localclaim = claimer };
#ifdef NO_FENCE
     ready = true
#else
     atomic {
       if
       :: version == known -> version++; known = version; seq++; writer = me * 16 + seq; ready = true
       :: else -> skip
       fi
     }
#endif
  :: ready -> ready = false /* it loses the ledger without noticing, and recovers */
  :: ready && calls < 3 -> /* a caller claims the key here */
     atomic { calls++; req = me * 16 + calls };
     if
     :: localclaim != NONE -> skip /* answered with what is known */
     :: else ->
        atomic {
          seq++; id = me * 16 + seq; lost = false; applied = false;
#ifdef NO_FENCE
          version++; claimer = req; writer = id; applied = true;
#else
          if
          :: version == known -> version++; claimer = req; writer = id; applied = true
          :: else -> skip
          fi;
#endif
          if
          :: lost = true
          :: lost = false
          fi
        };
        if
        :: !lost && applied -> atomic { known = version; localclaim = req; runs++; assert(runs <= 1) }
        :: !lost && !applied -> ready = false
        :: lost ->
#ifdef GUESS
           /* mutant: believe that the write failed, and run on a second try */
           atomic { known = version; localclaim = NONE; seq++; id = me * 16 + seq;
             version++; claimer = req; writer = id; localclaim = req; runs++; assert(runs <= 1);
             if
             :: applied -> runs++; assert(runs <= 1) /* the first try was granted by read-back too */
             :: else -> skip
             fi }
#else
           atomic {
             if
             :: writer == id -> known = version; localclaim = claimer; runs++; assert(runs <= 1)
             :: else -> ready = false
             fi
           }
#endif
        fi
     fi
  od
}

init { atomic { run Owner(1); run Owner(2) } }
