#include <criterion/criterion.h>
#include <set>

#include "fescueridge/node/peer_table.hpp"

using namespace fescueridge;

namespace
{

member_view member(const std::string& name)
{
    member_view view;
    view.record.node = node_id(name);
    view.record.domain = domain_name("a");
    view.record.service = service_name("till");
    view.record.state = server_state::ready;
    view.record.slots = slot_count(5);
    return view;
}

struct three_member_table
{
    three_member_table() { peers.update(self.record, {first, second}); }

    member_view self = member("n0");
    member_view first = member("n1");
    member_view second = member("n2");
    peer_table peers{node_id("n0"), domain_name("a")};
};

} // namespace

// A change of a sheet version updates the member without rebuilding the tables. The new
// version must be stored, and for the right member only.
Test(peer_table, updates_sheet_versions_in_place)
{
    three_member_table fixture;
    fixture.second.record.sheet = sheet_version(7);
    cr_expect(
        fixture.peers.update_sheet_versions({{change_kind::changed, fixture.second}}));
    const auto newest = fixture.peers.node_with_newest_sheet(sheet_version(6));
    cr_assert(newest.has_value());
    cr_expect(*newest == node_id("n2"));
    cr_expect(!fixture.peers.node_with_newest_sheet(sheet_version(7)));
    const auto members = fixture.peers.members();
    cr_assert_eq(members.size(), 3);
    cr_expect_eq(members[1].record.sheet.get(), 0U);
}

// The in-place update does not rebuild the balancers, so routing would miss any change
// other than the sheet version. Such changes must be rejected.
Test(peer_table, rejects_other_changes_in_place)
{
    three_member_table fixture;
    member_view draining = fixture.first;
    draining.record.state = server_state::draining;
    cr_expect(!fixture.peers.update_sheet_versions({{change_kind::changed, draining}}));
    member_view suspect = fixture.first;
    suspect.status = liveness::suspect;
    cr_expect(!fixture.peers.update_sheet_versions({{change_kind::suspected, suspect}}));
    cr_expect(!fixture.peers.update_sheet_versions({{change_kind::changed, suspect}}));
    cr_expect(
        !fixture.peers.update_sheet_versions({{change_kind::changed, member("n9")}}));
    cr_expect(
        !fixture.peers.update_sheet_versions({{change_kind::joined, fixture.first}}));
}

// When a whole fleet rejoins, all nodes pull the sheet at once. The peers they pull from
// must be drawn at random from the live nodes with the newest sheet, preferring nodes in
// the own failure domain.
Test(peer_table, newer_sheet_node_prefers_own_domain)
{
    std::vector<member_view> members;
    const auto add = [&](const char* name, const char* domain, std::uint64_t version)
    {
        members.push_back(member(name));
        members.back().record.domain = domain_name(domain);
        members.back().record.sheet = sheet_version(version);
    };
    add("old", "a", 6);
    add("dead", "a", 8);
    members.back().status = liveness::dead;
    add("b1", "b", 7);
    add("b2", "b", 7);
    peer_table peers(node_id("n0"), domain_name("a"));
    random_engine random(1);
    const auto chosen_names = [&](std::uint64_t known)
    {
        peers.update(member("n0").record, members);
        std::set<std::string> names;
        for (int i = 0; i < 50; ++i)
        {
            const auto newest =
                peers.choose_node_with_newest_sheet(sheet_version(known), random);
            names.insert(newest ? newest->get() : "none");
        }
        return names;
    };
    using names = std::set<std::string>;
    cr_assert(chosen_names(5) == (names{"b1", "b2"}));
    cr_assert(chosen_names(7) == (names{"none"}));
    add("a1", "a", 7);
    add("a2", "a", 7);
    cr_assert(chosen_names(5) == (names{"a1", "a2"}));
    cr_assert(chosen_names(0) == (names{"a1", "a2"}));
}
