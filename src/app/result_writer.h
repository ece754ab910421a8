// Writes what the owners of shares have decided to the state service: progress rows at a limited rate,
// finished jobs at once, cancellations of jobs that depend on a cancelled job, and moves of machines between
// shares.
#pragma once
#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "app/owned_shares.h"
#include "app/records.h"
#include "net/loop.h"
#include "store/client.h"

namespace aspenwick::app {

/// Commits results, job states and machine moves for all shares that this node owns.
class ResultWriter {
 public:
  struct Dependencies {
    net::Loop& loop;
    store::Client& store;
    Records& records;
    OwnedShares& owned_shares;
    std::function<void()> schedule_tick;
  };
  ResultWriter(const wire::PlatformSettings& platform, Dependencies dependencies)
      : platform_(platform), deps_(std::move(dependencies)) {}

  /// Called after each tick of the share controllers.
  void tick();
  /// Moves an empty machine of an owned share to share `to`; -1: it is to be deleted. Moves are limited in
  /// rate, so the call may do nothing and has to be repeated.
  void move_machine(const std::string& machine, int to);

 private:
  void commit_finished_jobs();
  void commit_finished_job(int share, std::uint64_t generation, const std::string& id);
  void cancel_dependents();
  bool cancel_dependents(int share, const OwnedShares::OwnedShare& owned);
  void write_progress();
  void commit_move(share::MachineRecord machine, int from, std::uint64_t generation,
                   std::uint64_t key_version, bool maybe_executed);
  void cancel_move_unless_committed(share::MachineRecord machine, int from, std::uint64_t generation);
  void cancel_move(const std::string& machine, int from);
  void read_chunks_of_other_shares();
  void reread_progress_version(int share, std::uint64_t generation,
                               const share::ShareController::ProgressWrite& write);

  const wire::PlatformSettings& platform_;
  Dependencies deps_;
  bool cancelling_ = false;
  std::size_t cancel_batch_ = 8;
  std::set<std::string> moving_;
  Micros last_progress_write_ = 0, last_move_ = 0, last_chunk_read_at_ = 0;
  std::pair<std::string, std::uint32_t> last_chunk_read_;  // the chunk that was read last
  double progress_budget_ = 0, move_budget_ = 0;
};

}  // namespace aspenwick::app
