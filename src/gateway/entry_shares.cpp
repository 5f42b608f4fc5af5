#include "fescueridge/gateway/entry_port.hpp"

#include "fleet_view.hpp"

namespace fescueridge::gateway
{
namespace
{

/// Weight of a new measurement of arrivals, made every 100 ms: about the last 300 ms.
constexpr double arrival_weight = 0.3;

} // namespace

void entry_port::update_shares()
{
    const auto now = clock::now();
    const double seconds = static_cast<double>((now - last_update_).count()) / 1000;
    last_update_ = now;
    if (seconds <= 0 || !table_)
        return;
    for (auto& [route, meter] : arrivals_)
    {
        meter.per_s += arrival_weight * (meter.count / seconds - meter.per_s);
        meter.count = 0;
    }
    retries_.set_nodes(peers_.all().size() + 1);
    fleet_view fleet(*table_, now);
    node_report_message own;
    executor_.fill_report(own);
    own.routes = arrivals();
    for (const auto& route : executor_.measured_routes())
        own.routes.push_back({route, 0, 0});
    executor_.fill_learned(own);
    fleet.add(own, now);
    for (const auto& [node, other] : peers_.all())
        if (other.connection)
            fleet.add(other.report, other.reported);
    edges_ = fleet.edges();
    thinner_.set_shares(admitted_shares(fleet.demands(), fleet.capacity(trims_)));
}

} // namespace fescueridge::gateway
