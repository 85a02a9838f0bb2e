#include "gateway_cluster.h"

namespace magnolia {
namespace {

class registration : public gateway_cluster {};

// Hosts that all restarted at other addresses never found each other again: the entries of their
// earlier addresses counted as their own.
TEST_F(registration, hosts_that_start_at_other_addresses_find_each_other) {
    for (int start = 0; start < 2; ++start) {
        start_gateway("g1");
        start_gateway("g2");
        wait_for_peers();
        stop_gateways();
    }
}

} // namespace
} // namespace magnolia
