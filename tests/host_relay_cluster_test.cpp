#include "linked_hosts.h"

namespace magnolia {
namespace {

using fakes::link_fault;

/// Complete hosts of which some are cut from the backend servers in one of these ways.
class cut_hosts : public linked_hosts, public testing::WithParamInterface<link_fault> {
protected:
    static constexpr duration observed_time = std::chrono::milliseconds{700};
};

// Incident RECOVER: hosts that had lost their links to all servers served 0 of 82 first tries.
TEST_P(cut_hosts, hosts_cut_from_all_servers_serve_their_callers) {
    start_hosts(3);
    set_links(0, GetParam());
    set_links(1, GetParam());
    pass_time(contact_time);
    EXPECT_EQ(unserved(observed_time), 0U);
}

// What a host saw while it was cut must not keep servers out when its links are back.
TEST_P(cut_hosts, a_host_uses_the_servers_again_soon_after_the_cut) {
    start_hosts(2);
    set_links(0, GetParam());
    pass_time(contact_time);
    set_links(0, link_fault::none);
    pass_time(contact_time);
    // Nobody else can help.
    set_links(1, GetParam());
    EXPECT_LE(send_until(steady_now() + observed_time, milliseconds{20}).sent, 40U);
    const auto& host = gateways_.front()->settings();
    for (const auto* target : {"/safe/", "/unsafe/", "/stream/"}) {
        EXPECT_EQ(get(host.listen.port, target)->status, 200U) << target;
    }
}

INSTANTIATE_TEST_SUITE_P(faults, cut_hosts,
                         testing::Values(link_fault::hang, link_fault::reset,
                                         link_fault::refuse_new));

} // namespace
} // namespace magnolia
