// What users ask of a node: submissions, status, cancellations. Nothing is told before it is committed, and
// nothing older than what any node may have told.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "app/owned_shares.h"
#include "app/records.h"
#include "net/exchange.h"
#include "net/loop.h"
#include "share/peer_transport.h"
#include "store/client.h"

namespace aspenwick::app {

class JobApi {
 public:
  struct Needs {
    net::Loop& loop;
    store::Client& store;
    share::PeerTransport& peers;
    Records& records;
    OwnedShares& owned_shares;
    /// Tells the peers, ahead of the watch.
    std::function<void(const std::string& job)> cancelled;
    /// Users may be told of its cancellation.
    std::function<bool(const std::string& job)> may_confirm;
    std::function<void()> poke;
  };
  JobApi(const wire::PlatformSettings& platform, std::uint64_t incarnation, Needs needs)
      : platform_(platform), incarnation_(incarnation), needs_(std::move(needs)) {}

  void submit(const net::ExchangePtr& x);
  void status(const net::ExchangePtr& x, const std::string& id);
  void cancel(const net::ExchangePtr& x, const std::string& id);

  /// A peer's word on a job of a share that it holds.
  void told(const share::StatusReply& tell);
  std::uint64_t requests() const { return requests_; }

 private:
  /// A submission whose needed jobs are being looked up.
  struct Submission {
    net::ExchangePtr exchange;
    job::JobRecord record;
    std::size_t next_need = 0;
    int asked = 0;
    job::RecordRows rows;
    std::string tag;
    std::size_t next_part = 0;
  };
  using Tally = std::pair<std::uint32_t, std::uint32_t>;  // tasks that are done, and that run
  struct StatusWait {
    net::ExchangePtr exchange;
    std::string job;
  };

  void check_needs(const std::shared_ptr<Submission>& s);
  void accept(const std::shared_ptr<Submission>& s);
  void write_record(const std::shared_ptr<Submission>& s);
  void accepted_before(const std::shared_ptr<Submission>& s);
  void tell(const net::ExchangePtr& x, const std::string& id);
  void refuse(const net::ExchangePtr& x, int code, const std::string& id, const std::string& why);
  void answer(const net::ExchangePtr& x, int code, const std::string& id);
  bool answer_final(const net::ExchangePtr& x, const std::string& id);
  void confirm(const net::ExchangePtr& x, const std::string& id, Micros until);
  void note_tally(const std::string& id, Tally tally);
  void look_up(const net::ExchangePtr& x, const std::string& id);
  void tell_tally(const net::ExchangePtr& x, const std::string& id);
  void cancel(const net::ExchangePtr& x, const std::string& id, int tries);
  void retry(const net::ExchangePtr& x, const std::string& why);

  const wire::PlatformSettings& platform_;
  const std::uint64_t incarnation_;  // of our process
  Needs needs_;
  std::uint64_t tags_ = 0, requests_ = 0;
  std::uint32_t asked_ = 0;
  std::map<std::uint32_t, StatusWait> asks_;
  std::unordered_map<std::string, Tally> tallies_;  // of jobs that were not over, as their owners told last
};

}  // namespace aspenwick::app
