#include "share/report_assembler.h"

#include <utility>

namespace aspenwick::share {

void ReportAssembler::add_part(const std::string& node, const ShareReport& part) {
  Parts& parts = parts_[part.share];
  if (parts.node != node) parts = {node, {}};
  for (const MachineState& machine : part.machines) parts.machines[machine.id] = machine;
}

ShareReport ReportAssembler::complete(const std::string& node, ShareReport last_part) {
  const auto entry = parts_.extract(last_part.share);
  if (!entry || entry.mapped().node != node) return last_part;
  auto& earlier = entry.mapped().machines;
  for (const MachineState& machine : last_part.machines) earlier.erase(machine.id);
  for (auto& [id, machine] : earlier) last_part.machines.push_back(std::move(machine));
  return last_part;
}

}  // namespace aspenwick::share
