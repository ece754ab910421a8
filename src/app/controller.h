// One controller node: joins the interfaces to the decisions. Everything runs on the I/O thread.
#pragma once
#include <event2/event.h>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/latency.h"
#include "app/leader.h"
#include "app/operator_settings.h"
#include "job/graph.h"
#include "net/http.h"
#include "share/holder.h"
#include "share/ownership.h"
#include "share/peer_link.h"
#include "store/client.h"

namespace aspenwick::app {

class Controller {
 public:
  Controller(event_base* base, const wire::PlatformSettings& platform, const OperatorSettings& ops);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

 private:
  using ExchangePtr = std::shared_ptr<net::Exchange>;
  struct HeldShare {
    std::unique_ptr<share::Holder> holder;
    std::uint64_t epoch = 0;
    std::uint64_t key_version = 0;
    bool loading = false, handing_back = false;
  };
  /// A submission whose needed jobs are being looked up.
  struct Submission {
    ExchangePtr exchange;
    job::JobRecord record;
    std::size_t next_need = 0;
    int asked = 0;
    job::RecordRows rows;
    std::string tag;
    std::size_t next_part = 0;
  };
  struct StatusWait {
    ExchangePtr exchange;
    std::string job;
  };

  Micros now() const;
  Micros time_of_day() const;
  void every(Micros period, void (Controller::*what)());
  void later(Micros delay, std::function<void()> what);
  void poke();

  // users
  void route(const ExchangePtr& x);
  void submit(const ExchangePtr& x);
  void check_needs(const std::shared_ptr<Submission>& s);
  void never_accepted(const std::shared_ptr<Submission>& s, const std::string& need);
  void accept(const std::shared_ptr<Submission>& s);
  void write_record(const std::shared_ptr<Submission>& s);
  void status(const ExchangePtr& x, const std::string& id);
  void status_below(const ExchangePtr& x, const std::string& id);
  void withdraw(const ExchangePtr& x, const std::string& id, int tries);
  void tell_status(const ExchangePtr& x, const std::string& id);
  void retry(const ExchangePtr& x, const std::string& why);
  void ready(const ExchangePtr& x);

  // workers
  void report(const ExchangePtr& x);
  void answer_report(const ExchangePtr& x, const wire::WorkerReport& r, bool may_adopt);
  void adopt(const ExchangePtr& x, const wire::WorkerReport& r);
  void push_orders();

  // state
  void reset_rows(std::vector<wire::Row> rows);
  void apply_row(const wire::Row& row);
  void set_job(const std::string& id, job::JobRecord record);
  void apply_part(const wire::Row& row);
  void assemble(const std::string& id);
  void drop_parts(const std::string& id, const job::JobRecord& record);
  void delete_keys(std::vector<std::string> keys);
  void follow_graph();
  void withdraw_doomed();
  void fresh_jobs(std::function<void(bool)> then);
  void announce();
  void apply_types(const wire::Row& row);
  void write_types(const std::vector<wire::MachineType>& types);
  void own_lease();
  void renew();
  void ownership();
  std::uint64_t highest_epoch() const;
  void take_key(const std::string& key, const std::string& counter, std::function<void(int)> done);
  void take_share(int share);
  void take_leader();
  void hand_back(int share);
  void sync_holders();
  void record_done();
  void finish_jobs();
  void feed_job(const std::string& id, const job::JobRecord& record);

  // leader
  void lead();
  void give(const fleet::Move& move);
  void forget_machines(const std::vector<std::string>& ids);
  void move_machine(const std::string& machine, int to);
  bool leading() const;

  // peers
  void gossip();
  void on_frame(const share::Frame& frame, const share::PeerLink::Reply& reply);
  std::vector<share::ShareSaid> own_shares() const;
  std::vector<share::ShareSaid> all_shares() const;

  void tick();
  void replan();
  void metrics();
  bool may_start(const HeldShare& s) const;

  event_base* base_;
  const wire::PlatformSettings& platform_;
  OperatorSettings ops_;
  net::Client http_, workers_;
  store::Client store_;
  share::Ownership own_;
  std::unique_ptr<share::PeerLink> peers_;
  std::unique_ptr<net::Server> server_;

  bool synced_ = false, lease_asked_ = false, tick_soon_ = false;
  std::unordered_map<std::string, job::JobRecord> jobs_;
  job::Graph graph_;
  std::unordered_map<std::string, std::map<std::string, std::map<std::uint32_t, std::string>>> parts_;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
      readers_;  // node -> lease, version of its row
  std::map<std::size_t, std::vector<wire::MachineType>> type_parts_;
  std::vector<std::function<void(bool)>> want_fresh_;
  std::uint64_t jobs_revision_ = 0, tags_ = 0;
  bool freshening_ = false, withdrawing_ = false, announcing_ = false;
  std::size_t withdraw_batch_ = 8;
  std::map<std::string, share::MachineRecord> machines_;
  std::set<std::string> machines_changed_;  // since the holders were told
  std::vector<wire::MachineType> types_;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> tokens_;  // key -> epoch, version
  std::map<int, HeldShare> held_;
  std::map<int, std::pair<std::string, std::uint64_t>> former_;  // share -> last holder's node and lease
  std::set<int> taking_;
  bool taking_leader_ = false;
  std::set<std::string> adopting_;
  std::set<std::string> moving_;
  struct Told {
    std::string node;
    Micros at = 0;
    share::ShareSaid said;
  };
  std::map<int, Told> said_;  // by share, the last word of whoever held it
  Leader leader_;
  Micros last_done_ = 0, last_move_ = 0, renewed_ = 0;
  double progress_level_ = 0, move_level_ = 0;
  std::uint32_t asked_ = 0;
  std::map<std::uint32_t, StatusWait> asks_;
  std::vector<event*> timers_;
  Latency waits_, planning_, state_calls_;
  std::uint64_t count_reports_ = 0, count_users_ = 0;
};

}  // namespace aspenwick::app
