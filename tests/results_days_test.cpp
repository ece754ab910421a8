// Random days in which rows of results lag while machines are given back and moved, owners end and are back
// in 50 ms, and watches lag while new jobs start: no task is started again whose result was not lost.
#include <cstdio>
#include <cstdlib>

#include "users.h"

namespace aspenwick::testing {
namespace {

struct ResultsDaysTest : NodeTest {};

std::string some_node_up(SmallWorld& w) {
  std::string node = kNodes[w.random() % kNodes.size()];
  while (!w.up(node)) node = kNodes[w.random() % kNodes.size()];
  return node;
}

void submit_some(SmallWorld& w, int& count) {
  static const std::vector<std::string> teams{"red", "cards"};  // of two shares
  for (int i = 0; i < 3; ++i) {
    auto submission =
        submission_json("j-" + std::to_string(1000 + ++count), 1 + static_cast<int>(w.random() % 12));
    submission["owner"] = teams[w.random() % teams.size()];
    if (w.random() % 4 == 0) submission["shape"] = "group", submission["pieces"] = 2;
    w.submitted[submission["nameId"]] = submission;
    w.send(some_node_up(w), net::Method::post, "/v1/jobs", submission, [](const Answer&) {});
  }
}

/// One to three of the troubles at a time.
void begin_troubles(SmallWorld& w) {
  if (w.random() % 2 == 0)
    w.commit_lost = [&w](const std::string& body) {
      return body.find("\"p/") != std::string::npos && w.random() % 4 != 0;
    };
  if (w.random() % 3 == 0) w.commit_unanswered = [&w](const std::string&) { return w.random() % 6 == 0; };
  if (w.random() % 3 == 0) w.state_slow = kSecond;
  if (w.random() % 3 == 0) w.open_watches_held = {some_node_up(w)};
}

void end_troubles(SmallWorld& w) {
  w.commit_lost = w.commit_unanswered = [](const std::string&) { return false; };
  w.state_slow = 0;
  w.open_watches_held.clear();
}

void owner_ends_and_is_back(SmallWorld& w) {
  const std::string node = some_node_up(w);
  w.crash(node);
  w.engine.run_for(50 * kMillisecond);
  w.start(node);
}

void play_day(unsigned seed) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  app::OperatorSettings settings;
  settings.renting.idle_after = 4 * kSecond;
  SmallWorld w(settings);
  w.random.seed(seed);
  w.push_lost = seed % 3 == 0 ? 0.3 : 0;
  w.run_time = kSecond;
  w.run_spread = 25 * kSecond;
  w.engine.run_for(15 * kSecond);
  int count = 0;
  for (int round = 0; round < 6; ++round) {
    submit_some(w, count);
    begin_troubles(w);
    w.engine.run_for(static_cast<Micros>(w.random() % 20'000) * kMillisecond);
    if (w.random() % 2 == 0) owner_ends_and_is_back(w);
    w.engine.run_for(static_cast<Micros>(w.random() % 20'000) * kMillisecond);
    if (w.random() % 2 == 0) end_troubles(w);
  }
  end_troubles(w);
  w.engine.run_for(200 * kSecond);
  EXPECT_EQ(w.ran_again, 0) << w.first_again;
  EXPECT_EQ(w.ran_twice, 0) << w.first_twice;
  for (const auto& [id, submission] : w.submitted) {
    const auto record = w.store.keys.find("s/job/" + id);
    if (record == w.store.keys.end()) continue;  // never accepted: nobody repeats a submission here
    EXPECT_EQ(record->second.value.at("st"), "done") << id;
  }
}

TEST_F(ResultsDaysTest, NoTaskIsStartedAgainWhoseResultWasNotLost) {
  unsigned from = 1, to = 12;
  if (const char* more = std::getenv("SEEDS")) std::sscanf(more, "%u-%u", &from, &to);
  for (unsigned seed = from; seed <= to; ++seed) play_day(seed);
}

}  // namespace
}  // namespace aspenwick::testing
