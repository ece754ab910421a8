#include "share/peer_frame.h"

namespace aspenwick::share {
namespace {

class Writer {
 public:
  template <typename T>
  void num(T v) {
    for (int shift = static_cast<int>(sizeof(T)) * 8 - 8; shift >= 0; shift -= 8)
      out_.push_back(static_cast<char>((static_cast<std::uint64_t>(v) >> shift) & 0xff));
  }
  void text(const std::string& s) {
    const std::size_t n = std::min<std::size_t>(s.size(), 255);
    num<std::uint8_t>(static_cast<std::uint8_t>(n));
    out_.append(s, 0, n);
  }
  void resources(const wire::Resources& r) {
    num<std::int64_t>(r.cpus);
    num<std::int64_t>(r.gpus);
    num<std::int64_t>(r.memory);
  }
  std::string take() { return std::move(out_); }

 private:
  std::string out_;
};

class Reader {
 public:
  Reader(const std::string& in, std::size_t offset) : in_(in), offset_(offset) {}
  template <typename T>
  T num() {
    if (in_.size() - offset_ < sizeof(T)) throw BadFrame("frame too short");
    std::uint64_t v = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) v = v << 8 | static_cast<unsigned char>(in_[offset_++]);
    return static_cast<T>(v);
  }
  std::string text() {
    const std::size_t n = num<std::uint8_t>();
    if (in_.size() - offset_ < n) throw BadFrame("frame too short");
    std::string s = in_.substr(offset_, n);
    offset_ += n;
    return s;
  }
  wire::Resources resources() {
    wire::Resources r;
    r.cpus = num<std::int64_t>();
    r.gpus = num<std::int64_t>();
    r.memory = num<std::int64_t>();
    return r;
  }
  void expect_end() const {
    if (offset_ != in_.size()) throw BadFrame("trailing bytes");
  }

 private:
  const std::string& in_;
  std::size_t offset_;
};

// Type 6 was a heartbeat without cancellations; no version in production has sent it.
enum FrameType : std::uint8_t {
  kGossip = 1,
  kReleaseRequest,
  kStatusRequest,
  kStatusReply,
  kLegacyCancelNotice,
  kHeartbeat = 7,
  kCancelNotice
};
// Bits of a gossip frame's flags; the version in production reads the first two. Bit 4 belonged to heartbeats
// of type 6.
enum GossipFlag : std::uint8_t {
  kStateServiceReachable = 1,
  kRecordsSynced = 2,
  kIdsOnly = 8,
  kReadsHeartbeats = 16,
  kMorePartsFollow = 32
};

void write(Writer& w, const Gossip& g) {
  w.text(g.node);
  w.num<std::uint8_t>(static_cast<std::uint8_t>(
      (g.state_service_reachable ? kStateServiceReachable : 0) | (g.records_synced ? kRecordsSynced : 0) |
      (g.ids_only ? kIdsOnly : 0) | (g.sender_reads_heartbeats ? kReadsHeartbeats : 0) |
      (g.more_parts_follow ? kMorePartsFollow : 0)));
  w.num<std::uint64_t>(g.lease);
  w.num<std::uint8_t>(static_cast<std::uint8_t>(g.shares.size()));
  for (const auto& s : g.shares) {
    w.num<std::int16_t>(static_cast<std::int16_t>(s.share));
    w.num<std::uint8_t>(s.all_accounted_for);
    w.num<std::uint16_t>(static_cast<std::uint16_t>(s.demands.size()));
    for (const auto& d : s.demands) {
      w.resources(d.need);
      w.num<std::uint64_t>(d.type_mask);
      w.num<std::uint8_t>(d.zone);
      w.num<std::uint8_t>(static_cast<std::uint8_t>(d.rank));
      w.num<std::uint8_t>(static_cast<std::uint8_t>(d.shape));
      w.num<std::uint8_t>(static_cast<std::uint8_t>(d.spot | d.one_zone << 1 | d.excludes_gpu_machines << 2 |
                                                    d.starved << 3 | d.accepts_any_machine << 4));
      w.num<std::uint32_t>(d.waiting);
      w.num<std::uint32_t>(d.running);
      w.num<std::uint32_t>(d.closed_zone_mask);
      w.num<std::uint32_t>(d.max_per_zone);
      w.num<std::uint32_t>(d.slack_ms);
      w.num<std::uint32_t>(d.estimated_run_ms);
    }
    w.num<std::uint16_t>(static_cast<std::uint16_t>(s.machines.size()));
    for (const auto& m : s.machines) {
      w.text(m.id);
      w.resources(m.free);
      w.num<std::uint8_t>(
          static_cast<std::uint8_t>(m.usable | m.empty << 1 | m.worker_lost << 2 | m.suspect << 3));
      w.num<std::uint32_t>(m.idle_ms);
      w.num<std::uint8_t>(static_cast<std::uint8_t>(m.highest_rank));
    }
  }
}

Gossip read_gossip(Reader& r) {
  Gossip g;
  g.node = r.text();
  const auto flags = r.num<std::uint8_t>();
  g.state_service_reachable = flags & kStateServiceReachable, g.records_synced = flags & kRecordsSynced;
  g.ids_only = flags & kIdsOnly, g.sender_reads_heartbeats = flags & kReadsHeartbeats;
  g.more_parts_follow = flags & kMorePartsFollow;
  g.lease = r.num<std::uint64_t>();
  const auto shares = r.num<std::uint8_t>();
  for (int i = 0; i < shares; ++i) {
    ShareReport s;
    s.share = r.num<std::int16_t>();
    s.all_accounted_for = r.num<std::uint8_t>() != 0;
    for (int n = r.num<std::uint16_t>(); n > 0; --n) {
      Demand d;
      d.need = r.resources();
      d.type_mask = r.num<std::uint64_t>();
      d.zone = r.num<std::uint8_t>();
      const auto rank = r.num<std::uint8_t>(), shape = r.num<std::uint8_t>();
      if (rank > 3 || shape > 2) throw BadFrame("rank or shape of a demand out of range");
      d.rank = static_cast<wire::Rank>(rank);
      d.shape = static_cast<wire::Shape>(shape);
      const auto bits = r.num<std::uint8_t>();
      d.spot = bits & 1, d.one_zone = bits & 2, d.excludes_gpu_machines = bits & 4;
      d.starved = bits & 8, d.accepts_any_machine = bits & 16;  // bits that earlier versions ignore
      d.waiting = r.num<std::uint32_t>();
      d.running = r.num<std::uint32_t>();
      d.closed_zone_mask = r.num<std::uint32_t>();
      d.max_per_zone = r.num<std::uint32_t>();
      d.slack_ms = r.num<std::uint32_t>();
      d.estimated_run_ms = r.num<std::uint32_t>();
      s.demands.push_back(d);
    }
    for (int n = r.num<std::uint16_t>(); n > 0; --n) {
      MachineState m;
      m.id = r.text();
      m.free = r.resources();
      const auto f = r.num<std::uint8_t>();
      m.usable = f & 1, m.empty = f & 2, m.worker_lost = f & 4, m.suspect = f & 8;
      m.idle_ms = r.num<std::uint32_t>();
      const auto machine_rank = r.num<std::uint8_t>();
      if (machine_rank > 3) throw BadFrame("rank of a machine out of range");
      m.highest_rank = static_cast<wire::Rank>(machine_rank);
      s.machines.push_back(std::move(m));
    }
    g.shares.push_back(std::move(s));
  }
  return g;
}

}  // namespace

std::string encode(const Frame& frame) {
  Writer body;
  std::uint8_t type = 0;
  if (const auto* g = std::get_if<Gossip>(&frame)) {
    type = kGossip;
    write(body, *g);
  } else if (const auto* a = std::get_if<ReleaseRequest>(&frame)) {
    type = kReleaseRequest;
    body.text(a->machine);
    body.num<std::int16_t>(static_cast<std::int16_t>(a->to_share));
    body.num<std::uint8_t>(a->drain);
    body.num<std::uint8_t>(static_cast<std::uint8_t>(a->rank));
  } else if (const auto* s = std::get_if<StatusRequest>(&frame)) {
    type = kStatusRequest;
    body.num<std::uint32_t>(s->request);
    body.text(s->job);
  } else if (const auto* t = std::get_if<StatusReply>(&frame)) {
    type = kStatusReply;
    body.num<std::uint32_t>(t->request);
    body.num<std::uint8_t>(t->known);
    body.num<std::uint32_t>(t->done);
    body.num<std::uint32_t>(t->running);
  } else if (const auto* w = std::get_if<LegacyCancelNotice>(&frame)) {
    type = kLegacyCancelNotice;
    body.text(w->job);
  } else if (const auto* b = std::get_if<Heartbeat>(&frame)) {
    type = kHeartbeat;
    body.text(b->node);
    body.num<std::uint8_t>(static_cast<std::uint8_t>(b->state_service_reachable | b->records_synced << 1));
    for (const auto n : {b->lease, b->incarnation, b->timestamp, b->echo_incarnation, b->echo_timestamp,
                         b->records_read_to, b->highest_cancellation, b->acked_cancellation})
      body.num<std::uint64_t>(n);
    body.num<std::uint8_t>(static_cast<std::uint8_t>(b->highest_epochs.size()));
    for (const auto e : b->highest_epochs) body.num<std::uint64_t>(e);
  } else if (const auto* c = std::get_if<CancelNotice>(&frame)) {
    type = kCancelNotice;
    body.text(c->node);
    for (const auto n : {c->incarnation, c->after_number, c->last_number}) body.num<std::uint64_t>(n);
    body.num<std::uint16_t>(static_cast<std::uint16_t>(c->jobs.size()));
    for (const auto& j : c->jobs) {
      body.text(j.id);
      body.num<std::uint64_t>(j.revision);
    }
  }
  const std::string payload = body.take();
  Writer head;
  head.num<std::uint16_t>(kFrameMagic);
  head.num<std::uint8_t>(kFrameVersion);
  head.num<std::uint8_t>(type);
  head.num<std::uint32_t>(static_cast<std::uint32_t>(payload.size()));
  return head.take() + payload;
}

namespace {
/// The first part has the first half of the machines and no demands, the last one the rest.
std::pair<Gossip, Gossip> split_machines(const Gossip& whole) {
  Gossip first = whole, last = whole;
  const auto& machines = whole.shares[0].machines;
  const auto half = machines.begin() + static_cast<std::ptrdiff_t>(machines.size() / 2);
  first.more_parts_follow = true;
  first.shares[0].demands.clear();
  first.shares[0].machines.assign(machines.begin(), half);
  last.shares[0].machines.assign(half, machines.end());
  return {std::move(first), std::move(last)};
}

std::pair<Gossip, Gossip> split_shares(const Gossip& whole) {
  Gossip first = whole, last = whole;
  const auto half = whole.shares.begin() + static_cast<std::ptrdiff_t>(whole.shares.size() / 2);
  first.shares.assign(whole.shares.begin(), half);
  last.shares.assign(half, whole.shares.end());
  return {std::move(first), std::move(last)};
}
}  // namespace

std::vector<std::string> encode_gossip(const Gossip& whole) {
  std::string bytes = encode(whole);
  if (bytes.size() <= kMaxFrameSize) return {std::move(bytes)};
  if (whole.shares.empty() || (whole.shares.size() == 1 && whole.shares[0].machines.size() < 2)) return {};
  if (whole.shares.size() == 1) {
    const auto [first, last] = split_machines(whole);
    std::string last_frame = encode(last);
    if (last_frame.size() > kMaxFrameSize) return encode_gossip(last);
    return {encode(first), std::move(last_frame)};
  }
  const auto [first, last] = split_shares(whole);
  std::vector<std::string> out = encode_gossip(first);
  for (auto& frame : encode_gossip(last)) out.push_back(std::move(frame));
  return out;
}

std::size_t frame_length(const std::string& header) {
  Reader r(header, 0);
  if (r.num<std::uint16_t>() != kFrameMagic) throw BadFrame("wrong magic number");
  if (r.num<std::uint8_t>() != kFrameVersion) throw BadFrame("unsupported frame version");
  r.num<std::uint8_t>();
  const auto length = r.num<std::uint32_t>();
  if (length > kMaxFrameSize) throw BadFrame("frame too long");
  return kFrameHeaderSize + length;
}

Frame decode(const std::string& frame) {
  if (frame.size() != frame_length(frame)) throw BadFrame("length does not match the header");
  Reader r(frame, kFrameHeaderSize);
  Frame out;
  switch (static_cast<std::uint8_t>(frame[3])) {
    case kGossip:
      out = read_gossip(r);
      break;
    case kReleaseRequest: {
      ReleaseRequest a;
      a.machine = r.text();
      a.to_share = r.num<std::int16_t>();
      a.drain = r.num<std::uint8_t>() != 0;
      const auto rank = r.num<std::uint8_t>();
      if (rank > 3) throw BadFrame("rank of a release request out of range");
      a.rank = static_cast<wire::Rank>(rank);
      out = a;
      break;
    }
    case kStatusRequest: {
      StatusRequest a;
      a.request = r.num<std::uint32_t>();
      a.job = r.text();
      out = a;
      break;
    }
    case kStatusReply: {
      StatusReply t;
      t.request = r.num<std::uint32_t>();
      t.known = r.num<std::uint8_t>() != 0;
      t.done = r.num<std::uint32_t>();
      t.running = r.num<std::uint32_t>();
      out = t;
      break;
    }
    case kLegacyCancelNotice:
      out = LegacyCancelNotice{r.text()};
      break;
    case kHeartbeat: {
      Heartbeat b;
      b.node = r.text();
      const auto flags = r.num<std::uint8_t>();
      b.state_service_reachable = flags & 1, b.records_synced = flags & 2;
      for (auto* n : {&b.lease, &b.incarnation, &b.timestamp, &b.echo_incarnation, &b.echo_timestamp,
                      &b.records_read_to, &b.highest_cancellation, &b.acked_cancellation})
        *n = r.num<std::uint64_t>();
      for (int n = r.num<std::uint8_t>(); n > 0; --n) b.highest_epochs.push_back(r.num<std::uint64_t>());
      out = std::move(b);
      break;
    }
    case kCancelNotice: {
      CancelNotice c;
      c.node = r.text();
      for (auto* n : {&c.incarnation, &c.after_number, &c.last_number}) *n = r.num<std::uint64_t>();
      if (c.incarnation == 0 || c.after_number > c.last_number)
        throw BadFrame("invalid incarnation or numbers of a cancel notice");
      for (int n = r.num<std::uint16_t>(); n > 0; --n) {
        std::string id = r.text();
        c.jobs.push_back({std::move(id), r.num<std::uint64_t>()});
      }
      out = std::move(c);
      break;
    }
    default:
      throw BadFrame("unknown frame type");
  }
  r.expect_end();
  return out;
}

}  // namespace aspenwick::share
