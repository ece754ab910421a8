#include "users.h"

namespace aspenwick::testing {

using net::Method;

Users::Users(SmallWorld& world) : w_(world) {
  w_.on_completed = [this](const std::string& task) {
    const std::string id = task.substr(0, task.find('/'));
    if (accepted_.contains(id) && all_completed(id) && chance(cancel_at_end)) cancel(id);
  };
}

std::string Users::up() {
  for (int i = 0; i < 20; ++i)
    if (const auto& n = kNodes[w_.random() % kNodes.size()]; w_.up(n)) return n;
  return {};
}

std::string Users::some_job() {
  auto it = accepted_.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(w_.random() % accepted_.size()));
  return *it;
}

bool Users::all_completed(const std::string& id) const {
  for (int i = 0; i < w_.submitted.at(id).at("pieces").get<int>(); ++i)
    if (!w_.completed.contains(id + "/" + std::to_string(i))) return false;
  return true;
}

bool Users::may_be_cancelled(const std::string& id) const {
  const auto needs = w_.needs.find(id);
  return asked_.contains(id) || (needs != w_.needs.end() && may_be_cancelled(needs->second));
}

void Users::act() {
  if (chance(0.35) && submitted_ < most_jobs) submit(some_new_job());
  if (chance(odd_requests)) submit_odd();
  for (int i = 0; i < 2 && !accepted_.empty(); ++i) poll(some_job());
  if (chance(0.15) && !accepted_.empty()) cancel(some_job());
  if (chance(odd_requests) && !accepted_.empty()) {
    const auto id = some_job();
    if (told_.contains(id))
      cancel(id);
    else
      submit_again(id, 1);
  }
  if (const auto node = up(); chance(0.05) && !node.empty())
    w_.send(node, Method::get, "/v1/jobs/j-999999", {},
            [](const Answer& a) { EXPECT_NE(a.status, 200) << "invented"; });
}

Json Users::some_new_job() {
  auto j = submission_json("j-" + std::to_string(1000 + ++submitted_),
                           1 + static_cast<int>(w_.random() % (chance(0.3) ? 12 : 3)));
  const auto owner = w_.random() % 3;
  j["owner"] = std::vector<std::string>{"red", "tight", "cards"}[owner];
  j["rank"] = std::vector<std::string>{"low", "low", "normal", "high", "production"}[w_.random() % 5];
  if (chance(0.2)) j["loaner"] = false;
  if (owner == 2 && chance(0.5)) j["cards"] = 1.0;
  if (j["cards"] == 0.0 && chance(0.2)) j["site"] = "z2";
  if (chance(0.2)) {
    j["shape"] = "group", j["pieces"] = 1 + static_cast<int>(w_.random() % 4);
    j["together"] = chance(0.5);
  }
  if (chance(0.25) && !accepted_.empty()) j["waitsOn"] = {some_job()};
  return j;
}

void Users::submit(Json j) {
  const auto id = j.at("nameId").get<std::string>();
  if (j.contains("waitsOn")) w_.needs[id] = j["waitsOn"][0].get<std::string>();
  w_.submitted[id] = std::move(j);
  submit_again(id, 8);
}

/// A user repeats it, anywhere, a second or two later.
void Users::submit_again(const std::string& id, int tries) {
  if (tries == 0) return;
  const auto node = up();
  auto later = [this, id, tries] {
    w_.engine.at(kSecond + static_cast<Micros>(w_.random() % 1000) * kMillisecond, [this, id, tries] {
      if (!accepted_.contains(id)) submit_again(id, tries - 1);
    });
  };
  if (node.empty()) return later();
  ask(node, id, Method::post, "/v1/jobs", w_.submitted.at(id), [later](const Answer& a) {
    if (a.status >= 429) later();
  });
}

void Users::submit_odd() {
  const auto node = up();
  if (node.empty()) return;
  const std::string id = "j-8" + std::to_string(100'000 + ++odd_);
  auto j = submission_json(id, 2);
  switch (w_.random() % 6) {
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
  w_.send(node, Method::post, "/v1/jobs", j, [j, id](const Answer& a) {
    EXPECT_TRUE(a.status == 400 || a.status == 422 || a.status >= 429) << a.status << " for " << j.dump();
  });
}

void Users::cancel(const std::string& id, const std::string& at) {
  const auto node = at.empty() ? up() : at;
  if (node.empty() || !w_.up(node)) return;
  asked_.insert(id);
  std::erase_if(w_.wanted, [&](const auto& j) { return may_be_cancelled(j); });
  ask(node, id, Method::post, "/v1/jobs/" + id + "/withdraw", {}, [this, id, at](const Answer& a) {
    if (a.status >= 429) w_.engine.at(kSecond, [this, id, at] { cancel(id, at); });
  });
}

void Users::poll(const std::string& id, const std::string& at) {
  const auto node = at.empty() ? up() : at;
  if (!node.empty() && w_.up(node)) ask(node, id, Method::get, "/v1/jobs/" + id, {});
}

void Users::cancel_now(int count, bool hang) {
  std::vector<std::string> running;
  for (const auto& id : accepted_)
    if (!told_.contains(id) && !all_completed(id)) running.push_back(id);
  for (int i = 0; i < count && !running.empty(); ++i) {
    const std::size_t which = w_.random() % running.size();
    w_.engine.at(static_cast<Micros>(w_.random() % 200) * kMillisecond,
                 [this, id = running[which]] { cancel(id); });
    running.erase(running.begin() + static_cast<std::ptrdiff_t>(which));
    if (hang) w_.hang_some_machine(static_cast<Micros>(3 + w_.random() % 20) * kSecond);
  }
}

void Users::ask(const std::string& node, const std::string& id, Method method, const std::string& path,
                const Json& body, const std::function<void(const Answer&)>& then) {
  Question q{id, accepted_.contains(id), {}, path == "/v1/jobs"};
  if (const auto t = told_.find(id); t != told_.end()) q.final = t->second;
  w_.send(node, method, path, body, [this, q, node, then](const Answer& a) {
    if (a.status == 200) answered_.emplace(node, q.id);
    heard(q, a);
    if (then) then(a);
  });
}

void Users::heard(const Question& q, const Answer& a) {
  if (q.accepted) {
    EXPECT_NE(a.status, 404) << q.id;
    EXPECT_NE(a.status, 400) << q.id << a.body;
    EXPECT_NE(a.status, 422) << q.id << a.body;
  }
  if (a.status != 200 && a.status != 201) return;
  const auto said = a.body.at("status").get<std::string>();
  const bool over = said == "done" || said == "withdrawn";
  if (q.final) {
    EXPECT_EQ(said, *q.final) << q.id;
  }
  if (accepted_.insert(q.id).second) {
    if (!over && !may_be_cancelled(q.id)) w_.wanted.insert(q.id);
    news(q.id);
  }
  if (!over) return;
  const auto [told, first] = told_.emplace(q.id, said);
  EXPECT_EQ(said, told->second) << q.id;
  if (!first) return;
  w_.wanted.erase(q.id);
  if (said == "withdrawn") {
    EXPECT_TRUE(may_be_cancelled(q.id)) << q.id << " was never cancelled";
    w_.cancelled.emplace(q.id, w_.engine.now);
  } else {
    EXPECT_TRUE(all_completed(q.id)) << q.id << " said to be done";
  }
  news(q.id);
}

void Users::news(const std::string& id) {
  if (chance(close_looks)) look_closely(id);
}

/// At all nodes, again and again within milliseconds; the submission repeated, some cancel at once.
void Users::look_closely(const std::string& id) {
  for (const auto& node : kNodes)
    for (int i = 0; i < 3; ++i)
      w_.engine.at(static_cast<Micros>(w_.random() % 8000), [this, id, node, i] {
        if (!w_.up(node)) return;
        if (i == 1)
          ask(node, id, Method::post, "/v1/jobs", w_.submitted.at(id));
        else if (i == 2 && chance(0.1))
          cancel(id, node);
        else
          poll(id, node);
      });
}

void Users::expect_the_end() {
  w_.calm(true);
  answered_.clear();
  const Micros until = w_.engine.now + 75 * kSecond;
  auto open = [&] {
    std::vector<std::pair<std::string, std::string>> out;
    for (const auto& n : kNodes)
      for (const auto& id : accepted_)
        if (!answered_.contains({n, id})) out.emplace_back(n, id);
    return out;
  };
  while (!open().empty() && w_.engine.now < until) {
    for (const auto& [node, id] : open()) poll(id, node);
    w_.engine.run_for(kSecond);
  }
  for (const auto& [node, id] : open()) ADD_FAILURE() << id << " isn't known to " << node;
  for (int i = 0; i < 1200 && told_.size() < accepted_.size(); ++i) {
    for (const auto& id : accepted_)
      if (!told_.contains(id)) poll(id);
    w_.engine.run_for(kSecond);
  }
  for (const auto& id : accepted_) EXPECT_TRUE(told_.contains(id)) << id << " not over";
  EXPECT_EQ(w_.waited, "") << "waited beside room";
}

}  // namespace aspenwick::testing
