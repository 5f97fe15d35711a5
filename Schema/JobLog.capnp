# Records of a partition's log. Facts only: a record is never changed, and
# applying one twice has no further effect.
@0xd2a7c51e9f3b6408;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pumiceturn::schema");
using Wire = import "Wire.capnp";

struct ItemsAccepted { job @0 :Wire.Id; firstItem @1 :UInt32; items @2 :List(Wire.JobItem); }
struct ItemStarted { run @0 :Wire.Run; endpoint @1 :Text; }
struct ItemEnded { run @0 :Wire.Run; result @1 :Wire.ItemResult; }
struct JobCancelled { job @0 :Wire.Id; }
struct EpochStarted { epoch @0 :UInt64; owner @1 :Text; }

struct Record {
  wallUnixMs @0 :Int64;
  union {
    jobOpened @1 :Wire.JobDescription;  # Items follow; not accepted yet.
    itemsAccepted @2 :ItemsAccepted;
    jobAccepted @3 :Wire.Id;            # All items are in the log.
    itemsEnded @4 :List(ItemEnded);
    itemStarted @5 :ItemStarted;
    jobCancelled @6 :JobCancelled;
    epochStarted @7 :EpochStarted;
  }
}
