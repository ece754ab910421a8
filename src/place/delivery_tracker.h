// Whether what we send reaches a machine whose reports reach us. Its token tells: what we doubt, we doubt
// under a new token, and only a report that shows that token proves that something of ours arrived since.
#pragma once
#include <cstdint>

#include "wire/time.h"

namespace aspenwick::place {

class DeliveryTracker {
 public:
  /// Something that it should have heard had no effect; `token`, never given out before, will prove it wrong.
  void doubt(std::uint64_t token, Micros now) {
    if (doubt_token_ == 0) in_doubt_since_ = now;
    doubt_token_ = token;
  }
  /// Its newest report shows the token that it has seen. Before that was sent, our answer to the report
  /// before it, with `ours` or more, had arrived or was lost for good. true: what was doubted is proven.
  bool on_token_seen(std::uint64_t token, std::uint64_t min_token) {
    if (token >= min_token)
      lost_answers_ = 0;
    else if (answer_outstanding_)
      ++lost_answers_;
    answer_outstanding_ = false;
    const bool proven = doubt_token_ != 0 && token >= doubt_token_;
    if (proven) doubt_token_ = 0;
    return proven;
  }
  void on_answer_sent() { answer_outstanding_ = true; }

  /// Nothing new is given to it: it would wait there for a lease or more.
  bool in_doubt() const { return doubt_token_ != 0; }
  /// For how long, 0: it isn't in doubt.
  Micros in_doubt_for(Micros now) const { return doubt_token_ == 0 ? 0 : now - in_doubt_since_; }
  /// Answers that surely did not arrive, in a row.
  int lost_answers() const { return lost_answers_; }

 private:
  std::uint64_t doubt_token_ = 0;  // 0: nothing is
  Micros in_doubt_since_ = 0;
  bool answer_outstanding_ = false;
  int lost_answers_ = 0;
};

}  // namespace aspenwick::place
