// Fuzzes every parser of external input with randomly damaged valid messages (fixed seeds). A parser must
// succeed or throw a std::exception, which its callers catch; builds with sanitizers detect further errors.
#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "app/operator_settings.h"
#include "fixtures.h"
#include "share/ownership.h"
#include "share/peer_frame.h"

namespace aspenwick {
namespace {

std::string mutated(std::string s, std::mt19937& random) {
  static const std::string kFragments = "{}[]\",:0-9eE.+ntf\\u\0\xff";
  for (auto n = 1 + random() % 4; n > 0 && !s.empty(); --n) {
    const std::size_t at = random() % s.size();
    switch (random() % 4) {
      case 0:
        s[at] = static_cast<char>(random());
        break;
      case 1:
        s[at] = kFragments[random() % kFragments.size()];
        break;
      case 2:
        s.erase(at, 1 + random() % 8);
        break;
      default:
        s.insert(at, s.substr(random() % s.size(), random() % 16));
    }
  }
  return s;
}

/// Replaces one value by a value of another kind. The result is valid JSON, so that it gets past the JSON
/// parser.
std::string with_one_value_replaced(const std::string& text, std::mt19937& random) {
  auto j = wire::Json::parse(text).flatten();
  static const wire::Json kOddValues = {
      nullptr, -1, 1e300, "x", true, 18446744073709551615ULL, wire::Json::array(), 0.5};
  auto it = j.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(random() % j.size()));
  *it = kOddValues[random() % kOddValues.size()];
  if (it->is_structured()) *it = nullptr;
  return j.unflatten().dump();
}

void fuzz(const std::string& valid, const std::function<void(const std::string&)>& parse, bool json = true) {
  EXPECT_NO_THROW(parse(valid));
  std::mt19937 random(valid.size());
  for (int i = 0; i < 400; ++i) {
    const std::string invalid =
        json && i % 2 ? with_one_value_replaced(valid, random) : mutated(valid, random);
    try {
      parse(invalid);
    } catch (const std::exception&) {  // caught by every caller
    }
  }
}

TEST(ParserFuzz, UsersAndPlatformSettings) {
  fuzz(testing::job_json().dump(), [](const std::string& s) { wire::parse_job(s); });
  fuzz(testing::settings_json().dump(), [](const std::string& s) { wire::parse_settings(s); });
  fuzz(
      "learner:\n  memory: 0.7\n  sweeps: 5\nrenting:\n  idle_after_s: 30\n",
      [](const std::string& s) { app::parse_operator_settings(s); }, false);
}

TEST(ParserFuzz, WorkersAndCloud) {
  fuzz(
      R"({"rig":"i-000231","endpoint":"10.1.0.232:9000","rigtype":"g8","site":"a","loaner":true,"stint":1,"tally":88,
       "baton":41,"warningS":4.5,"pieces":[{"piece":"j-000412/3","try":2,"status":"running"},
       {"piece":"j-000398/0","try":1,"status":"ended","cause":"done"}]})",
      [](const std::string& s) { wire::parse_report(s); });
  fuzz(
      R"({"rigtypes":[{"sku":"g8","vcpus":96,"cards":8,"ramGb":768,"localGb":200,"fetchGbPerS":1.0,"price":12.0,
       "lowPrice":4.5,"startupS":45,"sites":["a","b"]}]})",
      [](const std::string& s) { wire::parse_machine_types(s); });
  fuzz(R"({"rigs":[{"nameId":"i-000231","endpoint":"10.1.0.232:9000","rigtype":"g8","site":"a","loaner":true,
       "status":"running","ageS":61.5}],"hasNext":false})",
       [](const std::string& s) { wire::parse_cloud_machine_page(s); });
  fuzz(R"({"rigs":["i-000231","i-000232"]})", [](const std::string& s) { wire::parse_rented_ids(s); });
}

TEST(ParserFuzz, StateService) {
  fuzz(R"({"rows":[{"path":"a/b","value":{"n":1},"stamp":412}],"hasNext":true,"ledgerRev":431})",
       [](const std::string& s) { wire::parse_row_page(s); });
  fuzz(R"({"ledgerRev":433,"news":[{"set":"c/9","value":{"n":1},"stamp":433},{"delete":"c/d","stamp":432}]})",
       [](const std::string& s) { wire::parse_changes(s); });
  fuzz(R"({"path":"a/b","value":{"n":1},"stamp":412,"hold":7})",
       [](const std::string& s) { wire::parse_row(s); });
  fuzz(R"({"hold":7})", [](const std::string& s) { wire::parse_lease(s); });
  fuzz(R"({"node":"a","lease":7,"epoch":3})",
       [](const std::string& s) { share::owner_from_json(wire::Json::parse(s), 1); });
  fuzz(R"({"share":1,"epoch":3,"addr":"1.2.3.4:5","type":"g8","zone":"a","spot":true})",
       [](const std::string& s) { share::machine_from_json("i-000001", wire::Json::parse(s), 1); });
  job::JobRecord record;
  record.spec = std::make_shared<wire::JobSpec>(wire::job_from_json(testing::job_json()));
  fuzz(job::record_to_json(record).dump(),
       [](const std::string& s) { job::record_from_json(wire::Json::parse(s), 1); });
  std::mt19937 random(7);
  for (int i = 0; i < 400; ++i) {  // a DoneSet's text was written by a node, but stored outside it
    job::DoneSet done(100);
    done.merge_chunk(static_cast<std::uint32_t>(random() % 3), mutated("ff07a30", random));
    EXPECT_LE(done.count(), 100U);
  }
}

TEST(ParserFuzz, PeerFrames) {
  share::Gossip g;
  g.node = "a";
  g.shares = {{1, true, {share::Demand{}}, {share::MachineState{}}}};
  for (const share::Frame& f : std::initializer_list<share::Frame>{
           g, share::ReleaseRequest{"i-1", 2, true, wire::Rank::high}, share::StatusRequest{1, "j-000001"},
           share::StatusReply{1, true, 2, 3}, share::LegacyCancelNotice{"j-000001"}})
    fuzz(
        share::encode(f), [](const std::string& s) { share::decode(s); }, false);
}

}  // namespace
}  // namespace aspenwick
