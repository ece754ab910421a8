#include "simulated_users.h"

namespace aspenwick::testing {

using net::Method;

SimulatedUsers::SimulatedUsers(ClusterSimulation& sim) : sim_(sim) {
  sim_.on_completed = [this](const std::string& task) {
    const std::string id = task.substr(0, task.find('/'));
    if (accepted_.contains(id) && all_completed(id) && with_probability(cancel_on_completion_rate))
      cancel(id);
  };
}

std::string SimulatedUsers::random_running_node() {
  for (int i = 0; i < 20; ++i)
    if (const auto& n = kNodeNames[sim_.random() % kNodeNames.size()]; sim_.is_running(n)) return n;
  return {};
}

std::string SimulatedUsers::random_job() {
  auto it = accepted_.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(sim_.random() % accepted_.size()));
  return *it;
}

bool SimulatedUsers::all_completed(const std::string& id) const {
  for (int i = 0; i < sim_.submitted.at(id).at("pieces").get<int>(); ++i)
    if (!sim_.completed.contains(id + "/" + std::to_string(i))) return false;
  return true;
}

bool SimulatedUsers::may_be_cancelled(const std::string& id) const {
  const auto dependency = sim_.dependency_of.find(id);
  return cancel_requested_.contains(id) ||
         (dependency != sim_.dependency_of.end() && may_be_cancelled(dependency->second));
}

void SimulatedUsers::act_for_one_second() {
  if (with_probability(0.35) && submitted_ < max_jobs) submit(random_new_job());
  if (with_probability(invalid_request_rate)) submit_invalid();
  for (int i = 0; i < 2 && !accepted_.empty(); ++i) poll(random_job());
  if (with_probability(0.15) && !accepted_.empty()) cancel(random_job());
  if (with_probability(invalid_request_rate) && !accepted_.empty()) {
    const auto id = random_job();
    if (final_statuses_.contains(id))
      cancel(id);
    else
      submit_with_retries(id, 1);
  }
  if (const auto node = random_running_node(); with_probability(0.05) && !node.empty())
    sim_.send(node, Method::get, "/v1/jobs/j-999999", {}, [](const Response& response) {
      EXPECT_NE(response.status, 200) << "a job that nobody submitted";
    });
}

Json SimulatedUsers::random_new_job() {
  auto j = submission_json("j-" + std::to_string(1000 + ++submitted_),
                           1 + static_cast<int>(sim_.random() % (with_probability(0.3) ? 12 : 3)));
  const auto owner = sim_.random() % 3;
  j["owner"] = std::vector<std::string>{"red", "tight", "cards"}[owner];
  j["rank"] = std::vector<std::string>{"low", "low", "normal", "high", "production"}[sim_.random() % 5];
  if (with_probability(0.2)) j["loaner"] = false;
  if (owner == 2 && with_probability(0.5)) j["cards"] = 1.0;
  if (j["cards"] == 0.0 && with_probability(0.2)) j["site"] = "z2";
  if (with_probability(0.2)) {
    j["shape"] = "group", j["pieces"] = 1 + static_cast<int>(sim_.random() % 4);
    j["together"] = with_probability(0.5);
  }
  if (with_probability(0.25) && !accepted_.empty()) j["waitsOn"] = {random_job()};
  return j;
}

void SimulatedUsers::submit(Json j) {
  const auto id = j.at("nameId").get<std::string>();
  if (j.contains("waitsOn")) sim_.dependency_of[id] = j["waitsOn"][0].get<std::string>();
  sim_.submitted[id] = std::move(j);
  submit_with_retries(id, 8);
}

/// Submits the job at a random node, and again 1 to 2 s later if no node runs or the response is 429 or
/// above.
void SimulatedUsers::submit_with_retries(const std::string& id, int attempts_left) {
  if (attempts_left == 0) return;
  const auto node = random_running_node();
  auto later = [this, id, attempts_left] {
    sim_.engine.at(kSecond + static_cast<Micros>(sim_.random() % 1000) * kMillisecond,
                   [this, id, attempts_left] {
                     if (!accepted_.contains(id)) submit_with_retries(id, attempts_left - 1);
                   });
  };
  if (node.empty()) return later();
  send_request(node, id, Method::post, "/v1/jobs", sim_.submitted.at(id), [later](const Response& response) {
    if (response.status >= 429) later();
  });
}

void SimulatedUsers::submit_invalid() {
  const auto node = random_running_node();
  if (node.empty()) return;
  const std::string id = "j-8" + std::to_string(100'000 + ++invalid_submitted_);
  auto j = submission_json(id, 2);
  switch (sim_.random() % 6) {
    case 0:
      j.erase("vcpus");
      break;
    case 1:
      j.erase("shape");
      break;
    case 2:
      j["vcpus"] = 1000.0;
      break;
    case 3:
      j["owner"] = "nobody";
      break;
    case 4:
      j["owner"] = "tight", j["shape"] = "group", j["pieces"] = 50;
      break;
    default:
      j["rank"] = nullptr;
  }
  sim_.send(node, Method::post, "/v1/jobs", j, [j, id](const Response& response) {
    EXPECT_TRUE(response.status == 400 || response.status == 422 || response.status >= 429)
        << response.status << " for " << j.dump();
  });
}

void SimulatedUsers::cancel(const std::string& id, const std::string& at) {
  const auto node = at.empty() ? random_running_node() : at;
  if (node.empty() || !sim_.is_running(node)) return;
  cancel_requested_.insert(id);
  std::erase_if(sim_.open_jobs, [&](const auto& j) { return may_be_cancelled(j); });
  send_request(node, id, Method::post, "/v1/jobs/" + id + "/withdraw", {},
               [this, id, at](const Response& response) {
                 if (response.status >= 429) sim_.engine.at(kSecond, [this, id, at] { cancel(id, at); });
               });
}

void SimulatedUsers::poll(const std::string& id, const std::string& at) {
  const auto node = at.empty() ? random_running_node() : at;
  if (!node.empty() && sim_.is_running(node)) send_request(node, id, Method::get, "/v1/jobs/" + id, {});
}

void SimulatedUsers::cancel_burst(int count, bool hang) {
  std::vector<std::string> running;
  for (const auto& id : accepted_)
    if (!final_statuses_.contains(id) && !all_completed(id)) running.push_back(id);
  for (int i = 0; i < count && !running.empty(); ++i) {
    const std::size_t index = sim_.random() % running.size();
    sim_.engine.at(static_cast<Micros>(sim_.random() % 200) * kMillisecond,
                   [this, id = running[index]] { cancel(id); });
    running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
    if (hang) sim_.hang_random_machine(static_cast<Micros>(3 + sim_.random() % 20) * kSecond);
  }
}

void SimulatedUsers::send_request(const std::string& node, const std::string& id, Method method,
                                  const std::string& path, const Json& body,
                                  const std::function<void(const Response&)>& on_response) {
  PendingRequest request{id, accepted_.contains(id), {}, path == "/v1/jobs"};
  if (const auto t = final_statuses_.find(id); t != final_statuses_.end())
    request.known_final_status = t->second;
  sim_.send(node, method, path, body, [this, request, node, on_response](const Response& response) {
    if (response.status == 200) nodes_that_answered_.emplace(node, request.id);
    check_response(request, response);
    if (on_response) on_response(response);
  });
}

void SimulatedUsers::check_response(const PendingRequest& request, const Response& response) {
  if (request.accepted) {
    EXPECT_NE(response.status, 404) << request.id;
    EXPECT_NE(response.status, 400) << request.id << response.body;
    EXPECT_NE(response.status, 422) << request.id << response.body;
  }
  if (response.status != 200 && response.status != 201) return;
  const auto status = response.body.at("status").get<std::string>();
  const bool finished = status == "done" || status == "withdrawn";
  if (request.known_final_status) {
    EXPECT_EQ(status, *request.known_final_status) << request.id;
  }
  if (accepted_.insert(request.id).second) {
    if (!finished && !may_be_cancelled(request.id)) sim_.open_jobs.insert(request.id);
    on_status_learned(request.id);
  }
  if (!finished) return;
  const auto [known, first] = final_statuses_.emplace(request.id, status);
  EXPECT_EQ(status, known->second) << request.id;
  if (!first) return;
  sim_.open_jobs.erase(request.id);
  if (status == "withdrawn") {
    EXPECT_TRUE(may_be_cancelled(request.id)) << request.id << " was withdrawn but never cancelled";
    sim_.cancelled.emplace(request.id, sim_.engine.now);
  } else {
    EXPECT_TRUE(all_completed(request.id))
        << request.id << " was reported as done before all of its tasks completed";
  }
  on_status_learned(request.id);
}

void SimulatedUsers::on_status_learned(const std::string& id) {
  if (with_probability(recheck_rate)) recheck_on_all_nodes(id);
}

/// Within 8 ms and at all running nodes: polls the job, repeats its submission, and polls or (10 %) cancels
/// it.
void SimulatedUsers::recheck_on_all_nodes(const std::string& id) {
  for (const auto& node : kNodeNames)
    for (int i = 0; i < 3; ++i)
      sim_.engine.at(static_cast<Micros>(sim_.random() % 8000), [this, id, node, i] {
        if (!sim_.is_running(node)) return;
        if (i == 1)
          send_request(node, id, Method::post, "/v1/jobs", sim_.submitted.at(id));
        else if (i == 2 && with_probability(0.1))
          cancel(id, node);
        else
          poll(id, node);
      });
}

void SimulatedUsers::expect_all_jobs_end() {
  sim_.track_waits(true);
  nodes_that_answered_.clear();
  const Micros until = sim_.engine.now + 75 * kSecond;
  auto open = [&] {
    std::vector<std::pair<std::string, std::string>> out;
    for (const auto& n : kNodeNames)
      for (const auto& id : accepted_)
        if (!nodes_that_answered_.contains({n, id})) out.emplace_back(n, id);
    return out;
  };
  while (!open().empty() && sim_.engine.now < until) {
    for (const auto& [node, id] : open()) poll(id, node);
    sim_.engine.run_for(kSecond);
  }
  for (const auto& [node, id] : open()) ADD_FAILURE() << id << " is not answered for by node " << node;
  for (int i = 0; i < 1200 && final_statuses_.size() < accepted_.size(); ++i) {
    for (const auto& id : accepted_)
      if (!final_statuses_.contains(id)) poll(id);
    sim_.engine.run_for(kSecond);
  }
  for (const auto& id : accepted_) EXPECT_TRUE(final_statuses_.contains(id)) << id << " has no final status";
  EXPECT_EQ(sim_.starved_job, "") << "a job waited beside free capacity";
}

}  // namespace aspenwick::testing
