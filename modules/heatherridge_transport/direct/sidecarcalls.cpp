#include "heatherridge_transport/direct/sidecarcalls.h"

#include "heatherridge_transport/app/logger.h"

namespace Heatherridge
{

SidecarCalls::SidecarCalls(const Names &names, Metrics &metrics)
    : m_failureEvent(names.failureEvent)
    , m_answered(metrics.counter(names.metric, R"(result="ok")"))
    , m_failed(metrics.counter(names.metric, R"(result="failed")"))
    , m_unsupported(metrics.counter(names.metric, R"(result="unsupported")"))
    , m_malformed(metrics.counter(names.metric, R"(result="malformed")"))
{
}

void SidecarCalls::setTargets(const std::vector<TargetEntry> &targets)
{
    std::set<TargetName> names;
    for (const auto &target : targets) {
        names.insert(target.id);
    }
    std::erase_if(m_failing, [&names](const auto &target) { return !names.contains(target); });
}

void SidecarCalls::recordEnd(const TargetEntry &target, const Error *error)
{
    if (error == nullptr) {
        m_answered.add();
        m_failing.erase(target.id);
        return;
    }
    auto &calls = error->kind == ErrorKind::NotFound ? m_unsupported
        : error->kind == ErrorKind::MalformedFrame   ? m_malformed
                                                     : m_failed;
    calls.add();
    // Only the first failure in a row is logged: a sidecar of an earlier version fails every few seconds.
    if (m_failing.insert(target.id).second) {
        logEvent(Severity::Warning, m_failureEvent,
                 {{"target", target.id.text()},
                  {"zone", target.zone.text()},
                  {"kind", std::string(errorDescriptorFor(error->kind).name)},
                  {"reason", error->detail}});
    }
}

} // namespace Heatherridge
