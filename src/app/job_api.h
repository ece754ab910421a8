// User requests: submissions, status, cancellations. A user is told only of committed states, and never of a
// state older than one that any node may have reported.
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

/// Answers the job requests of users.
class JobApi {
 public:
  struct Dependencies {
    net::Loop& loop;
    store::Client& store;
    share::PeerTransport& peers;
    Records& records;
    OwnedShares& owned_shares;
    /// Notifies the peers of a cancellation that this node has committed, without waiting for their watch.
    std::function<void(const std::string& job)> announce_cancellation;
    /// Whether users may be told that the job is cancelled.
    std::function<bool(const std::string& job)> may_confirm_cancellation;
    std::function<void()> schedule_tick;
  };
  JobApi(const wire::PlatformSettings& platform, std::uint64_t incarnation, Dependencies dependencies)
      : platform_(platform), incarnation_(incarnation), deps_(std::move(dependencies)) {}

  void submit(const net::ExchangePtr& exchange);
  void status(const net::ExchangePtr& exchange, const std::string& id);
  void cancel(const net::ExchangePtr& exchange, const std::string& id);

  /// Handles the answer of a peer that was asked for the status of a job of its share.
  void on_peer_status(const share::StatusReply& reply);
  std::uint64_t request_count() const { return request_count_; }

 private:
  /// A submission in progress: first its dependencies are looked up, then its rows are written.
  struct Submission {
    net::ExchangePtr exchange;
    job::JobRecord record;
    std::size_t next_dependency = 0;
    int lookups = 0;
    job::RecordRows rows;
    std::string tag;
    std::size_t next_part = 0;
  };
  using TaskCounts = std::pair<std::uint32_t, std::uint32_t>;  // tasks done, tasks running
  struct PendingStatus {
    net::ExchangePtr exchange;
    std::string job;
  };

  void check_dependencies(const std::shared_ptr<Submission>& submission);
  void accept(const std::shared_ptr<Submission>& submission);
  void write_record(const std::shared_ptr<Submission>& submission);
  void handle_duplicate(const std::shared_ptr<Submission>& submission);
  void report_status(const net::ExchangePtr& exchange, const std::string& id);
  void reject(const net::ExchangePtr& exchange, int code, const std::string& id, const std::string& reason);
  void answer_with_status(const net::ExchangePtr& exchange, int code, const std::string& id);
  bool answer_if_final(const net::ExchangePtr& exchange, const std::string& id);
  void confirm_cancellation(const net::ExchangePtr& exchange, const std::string& id, Micros until);
  void cache_task_counts(const std::string& id, TaskCounts counts);
  void look_up_job(const net::ExchangePtr& exchange, const std::string& id);
  void answer_with_task_counts(const net::ExchangePtr& exchange, const std::string& id);
  void cancel(const net::ExchangePtr& exchange, const std::string& id, int attempts_left);
  void answer_retry(const net::ExchangePtr& exchange, const std::string& reason);

  const wire::PlatformSettings& platform_;
  const std::uint64_t incarnation_;  // identifies this process
  Dependencies deps_;
  std::uint64_t last_tag_ = 0, request_count_ = 0;
  std::uint32_t last_status_request_ = 0;
  std::map<std::uint32_t, PendingStatus> pending_status_;
  std::unordered_map<std::string, TaskCounts>
      task_counts_;  // of unfinished jobs, as last reported by the owners of their shares
};

}  // namespace aspenwick::app
