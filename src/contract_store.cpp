#include "contract_store.h"

#include "json_text.h"
#include "schema_reader.h"

#include <algorithm>

namespace magnolia {
namespace {

using json = nlohmann::json;

/// Number of write tokens kept in an object. A write whose reply was lost is recognised until this
/// many later writes have followed it.
constexpr std::size_t max_write_tokens = 8;
/// Number of superseded versions kept per contract.
constexpr std::size_t max_history_versions = 50;
const std::string contract_kind = "contract";
const std::string history_kind = "contract-history";

tl::unexpected<contract_failure> make_failure(error failure) {
    return tl::unexpected{contract_failure{std::move(failure), std::nullopt, false}};
}

/// Whether the write may succeed after the object has been read again.
bool is_transient(const error& failure) {
    return failure.code == error_code::conflict || failure.code == error_code::platform_busy ||
           failure.code == error_code::platform_down;
}

/// Tokens of the latest writes of an object; none if it cannot be decoded.
std::vector<std::string> tokens_of(const stored_object& object) {
    const auto document = parse_json(object.value);
    std::vector<std::string> tokens;
    if (document.is_object() && document.contains("writes")) {
        for (const auto& token : document["writes"]) {
            if (token.is_string()) {
                tokens.push_back(token.get<std::string>());
            }
        }
    }
    return tokens;
}

bool has_token(const stored_object& object, const std::string& token) {
    return std::ranges::count(tokens_of(object), token) > 0;
}

/// Decodes contracts and skips those that cannot be decoded.
std::vector<stored_contract> decode_all(const std::vector<stored_object>& objects) {
    std::vector<stored_contract> contracts;
    for (const auto& object : objects) {
        if (auto value = decode_contract(object)) {
            contracts.push_back(std::move(*value));
        }
    }
    return contracts;
}

/// Decodes the versions in a history object; none if it is malformed.
std::vector<stored_contract> decode_history(const stored_object& object) {
    std::vector<stored_contract> versions;
    const auto document = parse_json(object.value);
    if (!document.is_array()) {
        return versions;
    }
    for (const auto& item : document) {
        if (!item.is_object() || !item.value("version", json{}).is_number_unsigned()) {
            continue;
        }
        schema_reader reader{unknown_keys::accept};
        stored_contract version{{}, item["version"].get<std::uint64_t>()};
        read(item.value("contract", json{}), reader, version.value);
        versions.push_back(std::move(version));
    }
    return versions;
}

std::string encode_history(const std::vector<stored_contract>& versions) {
    auto list = json::array();
    for (const auto& item : versions) {
        list.push_back({{"version", item.version}, {"contract", item.value}});
    }
    return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string encode_contract(const contract& value, std::span<const std::string> tokens) {
    json document = value;
    document["writes"] = tokens;
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<stored_contract> decode_contract(const stored_object& object) {
    const auto document = parse_json(object.value);
    schema_reader reader{unknown_keys::accept};
    stored_contract contract{{}, object.version};
    read(document, reader, contract.value);
    if (!reader.errors().empty()) {
        return fail(error_code::internal, object.id.name);
    }
    return contract;
}

/// A change in progress. The superseded version is first added to the history; then the new version
/// replaces it.
struct contract_store::pending_change {
    contract value;
    object_put put;
    std::string token;
    time_point deadline;
    change_handler done;
    std::optional<conditional_write> write;
};

contract_store::contract_store(executor execute, clock now, std::uint64_t seed)
    : execute_{std::move(execute)}, now_{std::move(now)}, random_{seed} {}

void contract_store::get(const std::string& workspace, change_handler done) {
    execute_(object_get{{contract_kind, workspace}}, [workspace, done = std::move(done)](
                                                         const result<platform_reply>& reply) {
        if (!reply) {
            done(make_failure(reply.error()));
            return;
        }
        const auto& object = std::get<stored_object>(*reply);
        if (object.version == 0) {
            done(make_failure({error_code::not_found, workspace, {}}));
            return;
        }
        const auto value = decode_contract(object);
        done(value ? contract_result<stored_contract>{*value} : make_failure(value.error()));
    });
}

void contract_store::list(const std::string& after,
                          std::function<void(const contract_result<contract_page>&)> done) {
    execute_(object_list{contract_kind, after, 0},
             [done = std::move(done)](const result<platform_reply>& reply) {
                 if (!reply) {
                     done(make_failure(reply.error()));
                     return;
                 }
                 const auto& page = std::get<object_page>(*reply);
                 done(contract_page{decode_all(page.items), page.position.revision, page.more});
             });
}

void contract_store::watch(std::uint64_t after_revision, std::chrono::milliseconds wait,
                           std::function<void(const contract_result<contract_changes>&)> done) {
    execute_(object_watch{contract_kind, {.revision = after_revision}, wait},
             [done = std::move(done)](const result<platform_reply>& reply) {
                 if (!reply) {
                     done(make_failure(reply.error()));
                     return;
                 }
                 const auto& page = std::get<watch_page>(*reply);
                 done(contract_changes{decode_all(page.changes), page.position.revision, page.gap});
             });
}

void contract_store::history(
    const std::string& workspace,
    std::function<void(const contract_result<std::vector<stored_contract>>&)> done) {
    execute_(object_get{{history_kind, workspace}},
             [done = std::move(done)](const result<platform_reply>& reply) {
                 if (!reply) {
                     done(make_failure(reply.error()));
                     return;
                 }
                 done(decode_history(std::get<stored_object>(*reply)));
             });
}

void contract_store::create(contract value, const change_context& context, change_handler done) {
    const stored_object absent{{contract_kind, value.workspace}, 0, {}, false};
    write_version(std::move(value), absent, context, done);
}

void contract_store::change(contract value, std::uint64_t expected_version,
                            const change_context& context, change_handler done) {
    const auto workspace = value.workspace;
    read_active(workspace, expected_version, done,
                [this, value = std::move(value), context, done](const stored_object& old,
                                                                const stored_contract& /*read*/) {
                    write_version(value, old, context, done);
                });
}

void contract_store::retire(const std::string& workspace, std::uint64_t expected_version,
                            const change_context& context, change_handler done) {
    read_active(workspace, expected_version, done,
                [this, context, done](const stored_object& old, const stored_contract& current) {
                    auto value = current.value;
                    value.state = contract_state::retired;
                    write_version(std::move(value), old, context, done);
                });
}

void contract_store::read_active(
    const std::string& workspace, std::uint64_t expected_version, change_handler done,
    std::function<void(const stored_object&, const stored_contract&)> on_active) {
    execute_(object_get{{contract_kind, workspace}},
             [workspace, expected_version, done = std::move(done),
              on_active = std::move(on_active)](const result<platform_reply>& reply) {
                 if (!reply) {
                     done(make_failure(reply.error()));
                     return;
                 }
                 const auto& object = std::get<stored_object>(*reply);
                 const auto current = decode_contract(object);
                 if (object.version == 0) {
                     done(make_failure({error_code::not_found, workspace, {}}));
                 } else if (!current) {
                     done(make_failure(current.error()));
                 } else if (object.version != expected_version) {
                     done(tl::unexpected{
                         contract_failure{{error_code::conflict, workspace, {}}, *current, false}});
                 } else if (current->value.state == contract_state::retired) {
                     done(make_failure({error_code::workspace_retired, workspace, {}}));
                 } else {
                     on_active(object, *current);
                 }
             });
}

void contract_store::write_version(contract value, const stored_object& old,
                                   const change_context& context, const change_handler& done) {
    auto change = std::make_shared<pending_change>();
    value.changed_by = context.changed_by;
    value.changed_at_ms = context.wall_ms;
    change->token = make_token();
    auto tokens = tokens_of(old);
    tokens.insert(tokens.begin(), change->token);
    tokens.resize(std::min(tokens.size(), max_write_tokens));
    change->put = {old.id, old.version, encode_contract(value, tokens)};
    change->value = std::move(value);
    change->deadline = context.deadline;
    change->done = done;
    if (old.version == 0) {
        write(change);
    } else {
        append_to_history(change, old);
    }
}

void contract_store::append_to_history(const std::shared_ptr<pending_change>& change,
                                       const stored_object& old) {
    const object_id id{history_kind, old.id.name};
    execute_(object_get{id}, [this, change, old, id](const result<platform_reply>& reply) {
        if (!reply) {
            change->done(make_failure(reply.error()));
            return;
        }
        const auto& object = std::get<stored_object>(*reply);
        auto versions = decode_history(object);
        if (std::ranges::find(versions, old.version, &stored_contract::version) != versions.end()) {
            write(change);
            return;
        }
        if (auto superseded = decode_contract(old)) {
            versions.push_back(std::move(*superseded));
        }
        if (versions.size() > max_history_versions) {
            versions.erase(versions.begin());
        }
        execute_(object_put{id, object.version, encode_history(versions)},
                 [this, change, old](const result<platform_reply>& written) {
                     if (written) {
                         write(change);
                     } else if (!is_transient(written.error()) || now_() >= change->deadline) {
                         change->done(make_failure(written.error()));
                     } else {
                         append_to_history(change, old);
                     }
                 });
    });
}

void contract_store::write(const std::shared_ptr<pending_change>& change) {
    change->write.emplace(
        change->put,
        [token = change->token](const stored_object& object) { return has_token(object, token); },
        change->deadline);
    on_step(change, change->write->start());
}

void contract_store::on_step(const std::shared_ptr<pending_change>& change,
                             const write_step& step) {
    if (const auto* call = std::get_if<platform_call>(&step)) {
        execute_(*call, [this, change](const result<platform_reply>& reply) {
            on_step(change, change->write->on_reply(reply, now_()));
        });
    } else if (const auto* written = std::get_if<write_done>(&step)) {
        change->done(stored_contract{change->value, written->version});
    } else if (const auto* conflict = std::get_if<write_conflict>(&step)) {
        const auto current = decode_contract(conflict->current);
        change->done(
            tl::unexpected{contract_failure{{error_code::conflict, change->value.workspace, {}},
                                            current ? std::optional{*current} : std::nullopt,
                                            false}});
    } else {
        const auto& failed = std::get<write_failed>(step);
        change->done(
            tl::unexpected{contract_failure{failed.failure, std::nullopt, failed.may_have_effect}});
    }
}

std::string contract_store::make_token() {
    return std::to_string(random_()) + "-" + std::to_string(random_());
}

} // namespace magnolia
