#include "place/rnn.h"

#include <algorithm>
#include <cmath>

namespace aspenwick::place {
namespace {
constexpr double kExternalInput = 0.25;  // external excitation of each neuron
constexpr double kRowSum = 1.0;          // r(i), kept by renormalisation
constexpr double kInitialQ = 0.5;        // q of every neuron before any reward
constexpr double kConvergence = 1e-9;
constexpr double kMergeThreshold = 1e-10;  // classes whose difference() is smaller are merged
constexpr double kTieMargin = 1e-9;        // q that differ by no more are equal

/// Sum of q[j] * w[j]. Four partial sums avoid waiting for the latency of each addition.
double weighted_sum(const std::vector<double>& q, const double* w) {
  double a = 0, b = 0, c = 0, d = 0;
  std::size_t j = 0;
  for (; j + 4 <= q.size(); j += 4)
    a += q[j] * w[j], b += q[j + 1] * w[j + 1], c += q[j + 2] * w[j + 2], d += q[j + 3] * w[j + 3];
  for (; j < q.size(); ++j) a += q[j] * w[j];
  return a + b + (c + d);
}
}  // namespace

void Rnn::Matrix::reserve(std::size_t classes_needed) {
  if (classes_needed <= capacity) return;
  const std::size_t new_capacity = std::max(classes_needed, capacity + capacity / 2 + 4);
  std::vector<double> grown(new_capacity * new_capacity, 0.0);
  for (std::size_t r = 0; r < capacity; ++r)
    std::copy_n(values.begin() + static_cast<std::ptrdiff_t>(r * capacity), capacity,
                grown.begin() + static_cast<std::ptrdiff_t>(r * new_capacity));
  values = std::move(grown), capacity = new_capacity;
}

/// A neuron has no weight to itself.
double Rnn::weight(const Matrix& w, Neuron from, Neuron to) const {
  return from == to ? 0 : w.incoming(slots_[to].class_index)[slots_[from].class_index];
}

// ---------------------------------------------------------------- classes

std::size_t Rnn::add_class() {
  classes_.push_back({{}, event_count_, kInitialQ});
  excitatory_.reserve(classes_.size());
  inhibitory_.reserve(classes_.size());
  return classes_.size() - 1;
}

/// Removes an empty class; the last class takes its index.
void Rnn::remove_class(std::size_t c) {
  const std::size_t last = classes_.size() - 1;
  if (newcomer_class_plus_one_ == c + 1) newcomer_class_plus_one_ = 0;
  if (c != last) {
    for (Matrix* w : {&excitatory_, &inhibitory_}) {
      std::copy_n(w->incoming(last), classes_.size(), w->incoming(c));
      for (std::size_t to = 0; to < classes_.size(); ++to) w->incoming(to)[c] = w->incoming(to)[last];
    }
    classes_[c] = std::move(classes_[last]);
    for (const Neuron n : classes_[c].members) slots_[n].class_index = c;
    if (newcomer_class_plus_one_ == last + 1) newcomer_class_plus_one_ = c + 1;
  }
  classes_.pop_back();
}

void Rnn::add_member(Neuron n, std::size_t c) {
  slots_[n].class_index = c;
  slots_[n].member_index = classes_[c].members.size();
  classes_[c].members.push_back(n);
}

void Rnn::remove_member(Neuron n) {
  auto& members = classes_[slots_[n].class_index].members;
  const Neuron moved = members.back();
  members[slots_[n].member_index] = moved;
  slots_[moved].member_index = slots_[n].member_index;
  members.pop_back();
}

/// A machine that gets a reward differs from all others, so it needs a class of its own.
std::size_t Rnn::separate(Neuron n) {
  const std::size_t c = slots_[n].class_index;
  if (classes_[c].members.size() == 1) {
    classes_[c].separated_at = event_count_;
    return c;
  }
  const std::size_t own = add_class();
  for (Matrix* w : {&excitatory_, &inhibitory_}) {
    for (std::size_t k = 0; k < own; ++k) {
      w->incoming(own)[k] = w->incoming(c)[k];
      w->incoming(k)[own] = w->incoming(k)[c];
    }
    w->incoming(own)[own] = 0;
  }
  classes_[own].q = classes_[c].q;
  remove_member(n);
  add_member(n, own);
  return own;
}

/// Sums over all incoming and outgoing weights of a member.
double Rnn::difference(std::size_t a, std::size_t b) const {
  double sum = 0;
  for (const Matrix* w : {&excitatory_, &inhibitory_}) {
    for (std::size_t k = 0; k < classes_.size(); ++k)
      if (k != a && k != b)
        sum += member_count(k) * (std::abs(w->incoming(a)[k] - w->incoming(b)[k]) +
                                  std::abs(w->incoming(k)[a] - w->incoming(k)[b]));
    const double between = w->incoming(a)[b], reverse = w->incoming(b)[a];
    const double larger_count = std::max(member_count(a), member_count(b));
    sum += larger_count * std::abs(between - reverse);
    if (member_count(a) > 1) sum += larger_count * std::abs(w->incoming(a)[a] - between);
    if (member_count(b) > 1) sum += larger_count * std::abs(w->incoming(b)[b] - between);
  }
  return sum;
}

/// The merged class gets weighted means, which keep every row's sum.
void Rnn::merge(std::size_t a, std::size_t b) {
  const double na = member_count(a), nb = member_count(b), n = na + nb;
  for (Matrix* w : {&excitatory_, &inhibitory_}) {
    const double within =
        (na * (na - 1) * w->incoming(a)[a] + na * nb * (w->incoming(a)[b] + w->incoming(b)[a]) +
         nb * (nb - 1) * w->incoming(b)[b]) /
        (n * (n - 1));
    for (std::size_t k = 0; k < classes_.size(); ++k) {
      if (k == a || k == b) continue;
      w->incoming(a)[k] = (na * w->incoming(a)[k] + nb * w->incoming(b)[k]) / n;
      w->incoming(k)[a] = (na * w->incoming(k)[a] + nb * w->incoming(k)[b]) / n;
    }
    w->incoming(a)[a] = within;
  }
  classes_[a].q = (na * classes_[a].q + nb * classes_[b].q) / n;
  classes_[a].separated_at = std::min(classes_[a].separated_at, classes_[b].separated_at);
  if (newcomer_class_plus_one_ == a + 1 || newcomer_class_plus_one_ == b + 1) newcomer_class_plus_one_ = 0;
  if (nb > na) {  // renumber the members of the smaller class
    std::swap(classes_[a].members, classes_[b].members);
    for (std::size_t i = 0; i < classes_[a].members.size(); ++i)
      slots_[classes_[a].members[i]].class_index = a;
  }
  for (const Neuron m : classes_[b].members) add_member(m, a);
  classes_[b].members.clear();
  remove_class(b);
}

/// Merges the two classes separated longest ago if their difference has faded. Up to two merges per call are
/// enough, since each reward adds at most one class.
void Rnn::merge_oldest_classes() {
  for (int i = 0; i < 2 && classes_.size() > 1; ++i) {
    std::size_t a = 0, b = 1;
    if (classes_[b].separated_at < classes_[a].separated_at) std::swap(a, b);
    for (std::size_t c = 2; c < classes_.size(); ++c) {
      if (classes_[c].separated_at < classes_[a].separated_at)
        b = a, a = c;
      else if (classes_[c].separated_at < classes_[b].separated_at)
        b = c;
    }
    const double distance = difference(a, b);
    if (distance >= kMergeThreshold && classes_.size() <= kMaxClasses) return;
    merge_error_ += distance;
    merge(a, b);
  }
}

// ---------------------------------------------------------------- adding and removing machines

Rnn::Neuron Rnn::add_machine(const std::string& machine) {
  Neuron n = static_cast<Neuron>(slots_.size());
  if (free_neurons_.empty()) {
    slots_.emplace_back();
  } else {
    n = free_neurons_.back();
    free_neurons_.pop_back();
  }
  slots_[n].machine = machine;
  const auto machine_count = static_cast<double>(++size_);
  // Each row gives the new neuron 1/(2(N-1)), as in a new network, and scales its other weights to keep its
  // sum.
  const double initial_weight = size_ > 1 ? 1.0 / (2.0 * (machine_count - 1)) : 0;
  const double kept_fraction = size_ > 2 ? (machine_count - 2) / (machine_count - 1) : 0;
  for (Matrix* w : {&excitatory_, &inhibitory_})
    for (std::size_t to = 0; to < classes_.size(); ++to)
      for (std::size_t from = 0; from < classes_.size(); ++from) w->incoming(to)[from] *= kept_fraction;
  // Machines added between two rewards are equal: scaling the entries of the one added first leaves exactly
  // what the next one starts with. In an untrained network all machines are.
  if (!trained_ && !classes_.empty()) newcomer_class_plus_one_ = 1;
  if (newcomer_class_plus_one_ == 0) newcomer_class_plus_one_ = add_class() + 1;
  const std::size_t c = newcomer_class_plus_one_ - 1;
  for (Matrix* w : {&excitatory_, &inhibitory_})
    for (std::size_t k = 0; k < classes_.size(); ++k) w->incoming(c)[k] = w->incoming(k)[c] = initial_weight;
  add_member(n, c);
  if (classes_.size() > kMaxClasses) merge_oldest_classes();
  return n;
}

void Rnn::remove_machine(Neuron n) {
  const std::size_t c = slots_[n].class_index;
  remove_member(n);
  if (classes_[c].members.empty()) remove_class(c);
  slots_[n].machine.clear();
  free_neurons_.push_back(n);
  if (--size_ == 0) trained_ = false, merge_error_ = 0;
  if (trained_) newcomer_class_plus_one_ = 0;  // entries of the next added machine start from other sums
  ++event_count_;
  renormalise();
}

// ---------------------------------------------------------------- learning

void Rnn::learn(Neuron n, double goal) {
  if (!(goal > 0) || !std::isfinite(goal)) return;
  const double reward = 1.0 / goal;
  threshold_ = settings_.past_weight * threshold_ + (1 - settings_.past_weight) * reward;
  if (size_ < 3) return;  // q is not used, and N-2 would be 0
  const bool good = reward >= threshold_;
  Matrix& into_this = good ? excitatory_ : inhibitory_;
  Matrix& into_others = good ? inhibitory_ : excitatory_;
  const double reward_per_other = reward / static_cast<double>(size_ - 2);
  ++event_count_;
  trained_ = true;
  newcomer_class_plus_one_ = 0;
  const std::size_t c = separate(n);
  for (std::size_t to = 0; to < classes_.size(); ++to) {
    double* w = to == c ? into_this.incoming(to) : into_others.incoming(to);
    const double increment = to == c ? reward : reward_per_other;
    for (std::size_t from = 0; from < classes_.size(); ++from) w[from] += increment;
  }
  renormalise();
  merge_oldest_classes();
  q_stale_ = true;
}

/// Scales each row to the sum kRowSum, and merge_error_ by the largest factor.
void Rnn::renormalise() {
  const std::size_t m = classes_.size();
  std::vector<double> scale(m, 0.0);
  for (std::size_t to = 0; to < m; ++to)
    for (std::size_t from = 0; from < m; ++from)
      scale[from] += (member_count(to) - (to == from ? 1 : 0)) *
                     (excitatory_.incoming(to)[from] + inhibitory_.incoming(to)[from]);
  double max_scale = 0;
  for (double& s : scale) s = s > 0 ? kRowSum / s : 1, max_scale = std::max(max_scale, s);
  merge_error_ *= max_scale;
  for (std::size_t to = 0; to < m; ++to)
    for (Matrix* w : {&excitatory_, &inhibitory_})
      for (std::size_t from = 0; from < m; ++from) w->incoming(to)[from] *= scale[from];
}

// ---------------------------------------------------------------- choosing

/// Iterates q = excitation / (rate + inhibition) from the previous solution until it changes by less than
/// kConvergence, or max_sweeps times.
void Rnn::solve() const {
  if (!q_stale_) return;
  q_stale_ = false;
  const std::size_t m = classes_.size();
  std::vector<double> excited(m);  // q summed over the members
  for (std::size_t c = 0; c < m; ++c) excited[c] = member_count(c) * classes_[c].q;
  for (int sweep = 0; sweep < settings_.max_sweeps; ++sweep) {
    double max_change = 0;
    for (std::size_t c = 0; c < m; ++c) {
      const double *plus = excitatory_.incoming(c), *minus = inhibitory_.incoming(c);
      const double old = classes_[c].q;  // subtracted below: no weight to itself
      const double q = std::min(1.0, (kExternalInput + weighted_sum(excited, plus) - old * plus[c]) /
                                         (kRowSum + weighted_sum(excited, minus) - old * minus[c]));
      max_change = std::max(max_change, std::abs(q - old));
      classes_[c].q = q;
      excited[c] = member_count(c) * q;
    }
    if (max_change < kConvergence) return;
  }
}

double Rnn::q(Neuron n) const {
  if (size_ < 3) return kInitialQ;
  solve();
  return classes_[slots_[n].class_index].q;
}

std::size_t Rnn::choose(std::span<const Neuron> candidates) {
  round_robin_credit_ += settings_.round_robin_fraction;
  if (size_ < 3 || round_robin_credit_ >= 1 - 1e-9) {
    if (size_ >= 3) round_robin_credit_ -= 1;
    // The next candidate by name after the last one chosen in turn, wrapping around.
    const auto name = [&](std::size_t c) -> const std::string& { return slots_[candidates[c]].machine; };
    std::size_t next = candidates.size(), first = 0;
    for (std::size_t c = 0; c < candidates.size(); ++c) {
      if (name(c) < name(first)) first = c;
      if (name(c) > last_round_robin_machine_ && (next == candidates.size() || name(c) < name(next)))
        next = c;
    }
    if (next == candidates.size()) next = first;
    last_round_robin_machine_ = name(next);
    return next;
  }
  solve();
  std::size_t best = 0;
  double highest = classes_[slots_[candidates[0]].class_index].q;
  for (std::size_t c = 1; c < candidates.size(); ++c)
    if (const double value = classes_[slots_[candidates[c]].class_index].q; value > highest + kTieMargin)
      best = c, highest = value;
  return best;
}

}  // namespace aspenwick::place
