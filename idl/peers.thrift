// Datagrams between fronts. Regenerate with scripts/generate.
namespace py turmericward.wire.peers

/** One front's own work at a target; `target` is the CRC-32 of its name. */
struct TargetLoad {
  1: i32 target
  /** Prompt tokens sent and not yet read, of calls that should be on time. */
  2: i32 urgent_tokens
  /** The same of calls that are late already. */
  3: i32 deferred_tokens
  4: i32 open_calls
  /** Since the front began: calls that ended, and those of them that failed. */
  5: i32 ended_calls
  6: i32 failed_calls
  /** Since the front began: time until first outputs, and at ordinary speed. */
  7: i64 prefill_ms
  8: i64 ordinary_prefill_ms
}

/** A prompt's part at a target; `part` is a hash of its id, 0 for none. */
struct KeptPart {
  1: i32 target
  2: i64 part
  3: i32 tokens
  /** Tokens behind it that no other request shares. */
  4: i32 own_tokens
  /** False while the target has still to read them. */
  5: bool ready
}

/** A target that gets no new calls until `ttl_ms` after receipt. */
struct HeldTarget {
  1: i32 target
  2: i32 ttl_ms
}

/** A target that said that it leaves, in the life that began at `started_ms`. */
struct LeavingTarget {
  1: i32 target
  2: i64 started_ms
}

/** The rate that a target named, in the life that began at `started_ms`. */
struct TargetLimit {
  1: i32 target
  2: i64 started_ms
  /** Requests a second from all fronts together; negative if it named none. */
  3: double per_s
  /** Time since the answer that named it. */
  4: i32 age_ms
}

/** What became of a prompt with a segment: an engine crashed, or answered it. */
struct SegmentOutcome {
  1: i64 segment
  2: bool answered
  /** The engine that ended, in the life that began at `started_ms`; 0 if answered. */
  3: i32 target
  4: i64 started_ms
  5: i32 age_ms
}

/** A record of a topic; an empty value ends its key. */
struct Record {
  1: i64 offset
  2: string key
  3: binary value
  /** Whether the value is compressed by zlib. */
  4: bool compressed
}

/** Everything that a topic of the store gained between two offsets. */
struct TopicNews {
  /** 1 is the operators' configuration, 2 the targets. */
  1: i32 topic
  /** Of the first record that these news cover. */
  2: i64 start
  /** Behind the last record that they cover. */
  3: i64 end
  /** Time since the store was asked whether there is more. */
  4: i32 age_ms
  /** The covered records, without those that change nothing. */
  5: list<Record> records
  /** Whether they are the newest of every key, and `start` is 0. */
  6: bool whole
  /** Era of the store in which the offsets were given out; 0 if not set. */
  7: i64 era
}

/** Calls that began to run in a window of Unix time, by workspace. */
struct WindowUsage {
  1: i64 window
  2: map<string, i32> counts
  /** Whether they are those of all fronts in the sender's domain. */
  3: bool domain
  /** Of all counts, also those that aren't in this message. */
  4: i32 total
}

/** Usage that a front or a domain has counted, and what time its sender takes it to be. */
struct Usage {
  1: i64 unix_ms
  2: list<WindowUsage> windows
}

/** What a workspace asked for; `workspace` is the CRC-32 of its name. */
struct WorkspaceWork {
  1: i32 workspace
  /** Thousandths of prompt tokens, or of milliseconds of plain calls, a second. */
  2: i64 per_s
}

/** Work at a service, of the fronts that are summed here, in the same units. */
struct ServiceWork {
  /** CRC-32 of its name. */
  1: i32 service_id
  /** What targets have done. */
  2: i64 served_per_s
  /** What the workspaces asked for that aren't named here. */
  3: i64 others_per_s
  4: i32 others_count
  5: list<WorkspaceWork> heaviest
  /** Recent waits in thousandths of the latency objectives: their sum, and
   * a thousand times their number. */
  6: i32 waits
  7: i32 samples
}

/** A front's whole load, and the prompts read since its last datagrams. */
struct FrontState {
  1: string front
  /** Random for each start of a front. */
  2: i64 boot
  3: i32 sequence
  4: list<TargetLoad> loads
  5: list<KeptPart> kept
  6: list<HeldTarget> held
  /** Failure domain of the front. */
  7: string domain
  /** Fronts whose load is summed here; 1 for a front's own. */
  8: i32 fronts
  /** Targets all of whose kept parts were told, here or shortly before. */
  9: list<i32> listed
  10: list<LeavingTarget> leaving
  /** What the front's instance can carry: link Mbit/s times cores. */
  11: i32 capacity
  12: list<TopicNews> news
  /** Whether targets that aren't named here are as they were told before. */
  13: bool partial
  /** Whether the front could not read the topics yet and asks for them whole. */
  14: bool asks
  /** Limits of targets; those that aren't named here are as they were told before. */
  15: list<TargetLimit> limits
  16: list<SegmentOutcome> outcomes
  /** The same of calls that come again; `segment` is the number of their content. */
  17: list<SegmentOutcome> request_outcomes
  18: Usage usage
  /** Work by service; without it the work is as it was told before. */
  19: list<ServiceWork> work
}
