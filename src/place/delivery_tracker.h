// Detects a machine whose reports arrive while our answers and orders may not reach it. Such a machine is
// in doubt under a new token; only a report that shows this token, or a higher one, proves that something we
// sent since then has arrived.
#pragma once
#include <cstdint>

#include "wire/time.h"

namespace aspenwick::place {

/// Delivery to one machine.
class DeliveryTracker {
 public:
  /// Something sent to the machine had no effect: it is in doubt until a report shows `token`, which must not
  /// have been sent before.
  void mark_in_doubt(std::uint64_t token, Micros now) {
    if (doubt_token_ == 0) in_doubt_since_ = now;
    doubt_token_ = token;
  }
  /// Takes the token shown by the machine's newest report. Before that report was sent, our answer to the
  /// previous one, which held `min_token` or a higher token, had arrived or was lost for good. Returns
  /// whether the machine was in doubt and no longer is.
  bool on_token_seen(std::uint64_t token, std::uint64_t min_token) {
    if (token >= min_token)
      lost_answers_ = 0;
    else if (answer_outstanding_)
      ++lost_answers_;
    answer_outstanding_ = false;
    const bool doubt_ended = doubt_token_ != 0 && token >= doubt_token_;
    if (doubt_ended) doubt_token_ = 0;
    return doubt_ended;
  }
  /// The machine's report was answered.
  void on_answer_sent() { answer_outstanding_ = true; }

  /// While in doubt, the machine gets no new tasks: they might wait there for a lease or longer.
  bool in_doubt() const { return doubt_token_ != 0; }
  /// Time in doubt; 0 if it is not.
  Micros in_doubt_for(Micros now) const { return doubt_token_ == 0 ? 0 : now - in_doubt_since_; }
  /// Consecutive answers that are known not to have arrived.
  int lost_answers() const { return lost_answers_; }

 private:
  std::uint64_t doubt_token_ = 0;  // 0: not in doubt
  Micros in_doubt_since_ = 0;
  bool answer_outstanding_ = false;
  int lost_answers_ = 0;
};

}  // namespace aspenwick::place
