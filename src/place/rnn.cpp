#include "place/rnn.h"

#include <algorithm>
#include <cmath>

namespace aspenwick::place {
namespace {
constexpr double kInput = 0.25;  // external excitation of each neuron
constexpr double kRowSum = 1.0;  // r(i), kept by renormalisation
constexpr double kStart = 0.5;   // q of every neuron before any reward
constexpr double kSettled = 1e-6;

/// Four sums at a time: one sum would wait for each addition.
double weighed(const std::vector<double>& q, const std::vector<double>& w) {
  double a = 0, b = 0, c = 0, d = 0;
  std::size_t j = 0;
  for (; j + 4 <= w.size(); j += 4)
    a += q[j] * w[j], b += q[j + 1] * w[j + 1], c += q[j + 2] * w[j + 2], d += q[j + 3] * w[j + 3];
  for (; j < w.size(); ++j) a += q[j] * w[j];
  return a + b + (c + d);
}
}  // namespace

std::size_t Rnn::index_of(const std::string& machine) const {
  auto it = index_.find(machine);
  return it == index_.end() ? size() : it->second;
}

void Rnn::join(const std::string& machine) {
  if (index_.contains(machine)) return;
  const std::size_t n = size() + 1;
  // Each row gives the newcomer the 1/(2(N-1)) of a fresh network and keeps what it knew in proportion.
  const double start = n > 1 ? 1.0 / (2.0 * static_cast<double>(n - 1)) : 0;
  const double keep = n > 2 ? static_cast<double>(n - 2) / static_cast<double>(n - 1) : 0;
  for (auto* w : {&plus_, &minus_}) {
    for (auto& into : *w) {
      for (double& x : into) x *= keep;
      into.push_back(start);
    }
    w->emplace_back(n, start).back() = 0;
  }
  index_[machine] = machines_.size();
  machines_.push_back(machine);
  q_.push_back(kStart);
}

void Rnn::leave(const std::string& machine) {
  const std::size_t i = index_of(machine);
  if (i == size()) return;
  const auto at = static_cast<std::ptrdiff_t>(i);
  for (auto* w : {&plus_, &minus_}) {
    w->erase(w->begin() + at);
    for (auto& into : *w) into.erase(into.begin() + at);
  }
  machines_.erase(machines_.begin() + at);
  q_.erase(q_.begin() + at);
  index_.erase(machine);
  for (auto& [name, index] : index_)
    if (index > i) --index;
  renormalise();
}

void Rnn::learn(const std::string& machine, double goal) {
  const std::size_t i = index_of(machine);
  if (i == size() || !(goal > 0) || !std::isfinite(goal)) return;
  const double reward = 1.0 / goal;
  threshold_ = settings_.memory * threshold_ + (1 - settings_.memory) * reward;
  const std::size_t n = size();
  if (n < 3) return;  // nothing to choose by q, and N-2 would be zero
  const bool good = reward >= threshold_;
  Matrix& into_this = good ? plus_ : minus_;
  Matrix& into_others = good ? minus_ : plus_;
  const double rest = reward / static_cast<double>(n - 2);
  for (std::size_t to = 0; to < n; ++to) {
    auto& into = to == i ? into_this[to] : into_others[to];
    const double more = to == i ? reward : rest;
    for (double& w : into) w += more;
    into[to] = 0;  // none to itself
  }
  renormalise();
  stale_ = true;
}

void Rnn::renormalise() {
  std::vector<double> scale(size(), 0.0);
  for (const auto* w : {&plus_, &minus_})
    for (const auto& into : *w)
      for (std::size_t from = 0; from < into.size(); ++from) scale[from] += into[from];
  for (double& s : scale) s = s > 0 ? kRowSum / s : 1;
  for (auto* w : {&plus_, &minus_})
    for (auto& into : *w)
      for (std::size_t from = 0; from < into.size(); ++from) into[from] *= scale[from];
}

void Rnn::solve() const {
  if (!stale_) return;
  stale_ = false;
  for (int sweep = 0; sweep < settings_.sweeps; ++sweep) {
    double moved = 0;
    for (std::size_t i = 0; i < size(); ++i) {
      const double q = std::min(1.0, (kInput + weighed(q_, plus_[i])) / (kRowSum + weighed(q_, minus_[i])));
      moved = std::max(moved, std::abs(q - q_[i]));
      q_[i] = q;
    }
    if (moved < kSettled) return;
  }
}

double Rnn::q(const std::string& machine) const {
  const std::size_t i = index_of(machine);
  if (i == size() || size() < 3) return kStart;
  solve();
  return q_[i];
}

std::size_t Rnn::choose(const std::vector<std::string>& candidates) {
  turn_credit_ += settings_.round_robin;
  if (size() < 3 || turn_credit_ >= 1 - 1e-9) {
    if (size() >= 3) turn_credit_ -= 1;
    // The next candidate after the last one served in turn, in name order.
    std::size_t next = candidates.size(), first = 0;
    for (std::size_t c = 0; c < candidates.size(); ++c) {
      if (candidates[c] < candidates[first]) first = c;
      if (candidates[c] > last_in_turn_ && (next == candidates.size() || candidates[c] < candidates[next]))
        next = c;
    }
    if (next == candidates.size()) next = first;
    last_in_turn_ = candidates[next];
    return next;
  }
  std::size_t best = 0;
  double highest = q(candidates[0]);
  for (std::size_t c = 1; c < candidates.size(); ++c)
    if (const double value = q(candidates[c]); value > highest + 1e-9) best = c, highest = value;
  return best;
}

}  // namespace aspenwick::place
