// What owners have decided, into the state service: done-sets at a pace, finished jobs at once, what a
// cancellation above has ended, and machines that leave a share.
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

class ResultWriter {
 public:
  struct Needs {
    net::Loop& loop;
    store::Client& store;
    Records& records;
    OwnedShares& owned_shares;
    std::function<void()> poke;
  };
  ResultWriter(const wire::PlatformSettings& platform, Needs needs)
      : platform_(platform), needs_(std::move(needs)) {}

  /// After each pass of the owners.
  void tick();
  /// An empty machine of a share that we hold leaves for share `to`; -1: it is to be deleted. At a pace, so
  /// it may have to be said again.
  void move_machine(const std::string& machine, int to);

 private:
  void finish_jobs();
  void finished(int share, std::uint64_t made, const std::string& id);
  void cancel_doomed();
  bool cancel_doomed(int share, const OwnedShares::OwnedShare& owned);
  void write_done();
  void commit_move(share::MachineRecord to_be, int from, std::uint64_t made, std::uint64_t key_version,
                   bool unsure);
  void stay_unless_moved(share::MachineRecord machine, int from, std::uint64_t made);
  void stay(const std::string& machine, int from);
  void read_chunks_of_others();
  void wrote_done(int share, std::uint64_t made, const share::ShareController::DoneWrite& write);

  const wire::PlatformSettings& platform_;
  Needs needs_;
  bool cancelling_ = false;
  std::size_t cancel_batch_ = 8;
  std::set<std::string> moving_;
  Micros last_done_ = 0, last_move_ = 0, last_read_of_others_ = 0;
  std::pair<std::string, std::uint32_t> last_chunk_of_others_;  // read, of a job of another share
  double progress_level_ = 0, move_level_ = 0;
};

}  // namespace aspenwick::app
