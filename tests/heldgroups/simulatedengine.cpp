#include "heldgroups/simulatedengine.h"

#include "heatherridge_coordination/heatherridge_coordination.h"

namespace Heatherridge
{

OrderReply SimulatedEngine::apply(const RankOrder &order, std::uint64_t step)
{
    return std::visit(Visitor{[&](const PrepareMap &prepare) {
                                  if (prepare.map <= highestMap || armed) {
                                      return OrderReply::Refused;
                                  }
                                  highestMap = prepare.map;
                                  prepared = prepare.map;
                                  preparedLayout = prepare.layout;
                                  return OrderReply::Accepted;
                              },
                              [&](const ArmMap &arm) {
                                  if (armed && armed->map == arm.map && armed->step == arm.step) {
                                      return OrderReply::Accepted;
                                  }
                                  if (armed || prepared != arm.map || arm.step <= step) {
                                      return OrderReply::Refused;
                                  }
                                  armed = arm;
                                  return OrderReply::Accepted;
                              },
                              [&](const DisarmMap &disarm) {
                                  if (map == disarm.map) {
                                      return OrderReply::Refused;
                                  }
                                  if (armed && armed->map == disarm.map) {
                                      armed.reset();
                                  }
                                  return OrderReply::Accepted;
                              },
                              [&](const HoldStep &hold) {
                                  if (hold.step <= step || (heldStep && *heldStep > step && *heldStep != hold.step)) {
                                      return OrderReply::Refused;
                                  }
                                  heldStep = hold.step;
                                  return OrderReply::Accepted;
                              },
                              [&](const ReleaseStep &release) {
                                  if (heldStep != release.step) {
                                      return OrderReply::Refused;
                                  }
                                  heldStep.reset();
                                  return OrderReply::Accepted;
                              }},
                      order);
}

void SimulatedEngine::beginPass(std::uint64_t step)
{
    if (armed && armed->step == step) {
        map = armed->map;
        layout = preparedLayout;
        prepared.reset();
        armed.reset();
    }
}

} // namespace Heatherridge
