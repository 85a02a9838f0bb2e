#include "contract_watcher.h"

#include "json_text.h"
#include "schema_reader.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Longest time for which the platform holds a watch open. A reply confirms the time at which its
/// watch was sent, so a relay's last confirmation can be up to twice this old.
constexpr std::chrono::milliseconds watch_wait{1000};
/// Time after which a call without a reply is given up.
constexpr std::chrono::milliseconds call_timeout{4000};
constexpr std::chrono::milliseconds initial_backoff{100};
constexpr std::chrono::milliseconds max_backoff{2000};

} // namespace

result<contract_version> read_contract(const stored_object& object) {
    const auto document = parse_json(object.value);
    if (document.is_discarded()) {
        return fail(error_code::bad_contract, object.id.name);
    }
    schema_reader reader{unknown_keys::accept};
    contract_version contract{object.version, {}};
    read(document, reader, contract.value);
    if (!reader.errors().empty() || contract.value.workspace != object.id.name) {
        const auto field = reader.errors().empty() ? "workspace" : reader.errors().front().path;
        return fail(error_code::bad_contract, object.id.name + ": " + field);
    }
    return contract;
}

void contract_watcher::start(std::uint64_t revision, time_point now) {
    is_running_ = true;
    is_listing_ = revision == 0;
    revision_ = std::max(revision_, revision);
    list_after_.clear();
    list_revision_.reset();
    pending_call_.reset();
    next_poll_ = now;
}

void contract_watcher::stop() {
    is_running_ = false;
    pending_call_.reset();
}

std::optional<numbered_call> contract_watcher::poll(std::uint64_t number, time_point now) {
    if (pending_call_ && now - sent_at_ >= call_timeout) {
        pending_call_.reset();
        back_off(now);
    }
    if (!is_running_ || pending_call_ || now < next_poll_) {
        return std::nullopt;
    }
    pending_call_ = number;
    sent_at_ = now;
    if (is_listing_) {
        return numbered_call{number, object_list{"contract", list_after_}};
    }
    return numbered_call{number, object_watch{"contract", {.revision = revision_}, watch_wait}};
}

watch_update contract_watcher::on_reply(std::uint64_t number, const result<platform_reply>& reply,
                                        time_point now) {
    watch_update update;
    if (pending_call_ != number) {
        return update;
    }
    pending_call_.reset();
    if (!reply) {
        back_off(now);
        return update;
    }
    backoff_ = {};
    std::visit([&](const auto& page) { on(page, update); }, *reply);
    update.revision = revision_;
    return update;
}

void contract_watcher::on(const object_page& page, watch_update& update) {
    read_contracts(page.items, update);
    // Changes made between two pages may be missing from the list, so the watch continues from the
    // lowest revision of the pages.
    list_revision_ =
        std::min(list_revision_.value_or(page.position.revision), page.position.revision);
    if (page.more) {
        list_after_ = page.items.back().id.name;
        return;
    }
    is_listing_ = false;
    revision_ = std::max(revision_, *list_revision_);
    list_after_.clear();
    list_revision_.reset();
}

void contract_watcher::on(const watch_page& page, watch_update& update) {
    read_contracts(page.changes, update);
    if (page.gap) {
        is_listing_ = true;
        revision_ = 0;
        return;
    }
    if (page.position.revision >= revision_) {
        revision_ = page.position.revision;
        update.confirmed_at = sent_at_;
    }
}

void contract_watcher::read_contracts(std::span<const stored_object> objects,
                                      watch_update& update) {
    for (const auto& object : objects) {
        if (object.deleted) {
            contract_version retired{object.version, {}};
            retired.value.workspace = object.id.name;
            retired.value.state = contract_state::retired;
            update.contracts.push_back(std::move(retired));
            continue;
        }
        auto value = read_contract(object);
        if (value) {
            update.contracts.push_back(std::move(*value));
        } else {
            ++rejected_;
        }
    }
}

void contract_watcher::back_off(time_point now) {
    backoff_ = std::clamp(backoff_ * 2, initial_backoff, max_backoff);
    std::uniform_int_distribution<std::int64_t> jitter{backoff_.count() / 2, backoff_.count()};
    next_poll_ = now + std::chrono::milliseconds{jitter(random_)};
}

} // namespace magnolia
