#include "contract_watcher.h"

#include "schema_reader.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Wait of one watch. Half of the age that a confirmation can reach at a relay.
constexpr std::chrono::milliseconds watch_wait{1000};
/// Time after which a call without an answer is given up.
constexpr std::chrono::milliseconds call_timeout{4000};
constexpr std::chrono::milliseconds first_backoff{100};
constexpr std::chrono::milliseconds longest_backoff{2000};

} // namespace

result<contract_version> read_contract(const stored_object& object) {
    const auto document = nlohmann::json::parse(object.value, nullptr, false);
    if (document.is_discarded()) {
        return fail(error_code::bad_contract, object.id.name);
    }
    schema_reader reader{unknown_keys::accept};
    contract_version read_value{object.version, {}};
    read(document, reader, read_value.value);
    if (!reader.errors().empty() || read_value.value.workspace != object.id.name) {
        const auto place = reader.errors().empty() ? "workspace" : reader.errors().front().path;
        return fail(error_code::bad_contract, object.id.name + ": " + place);
    }
    return read_value;
}

void contract_watcher::start(std::uint64_t revision, time_point now) {
    is_running_ = true;
    is_listing_ = revision == 0;
    revision_ = std::max(revision_, revision);
    after_.clear();
    list_revision_.reset();
    pending_.reset();
    not_before_ = now;
}

void contract_watcher::stop() {
    is_running_ = false;
    pending_.reset();
}

std::optional<numbered_call> contract_watcher::poll(std::uint64_t number, time_point now) {
    if (pending_ && now - sent_ >= call_timeout) {
        pending_.reset();
        delay(now);
    }
    if (!is_running_ || pending_ || now < not_before_) {
        return std::nullopt;
    }
    pending_ = number;
    sent_ = now;
    if (is_listing_) {
        return numbered_call{number, object_list{"contract", after_}};
    }
    return numbered_call{number, object_watch{"contract", revision_, watch_wait}};
}

watch_update contract_watcher::on_reply(std::uint64_t number, const result<platform_reply>& reply,
                                        time_point now) {
    watch_update news;
    if (pending_ != number) {
        return news;
    }
    pending_.reset();
    if (!reply) {
        delay(now);
        return news;
    }
    backoff_ = {};
    std::visit([&](const auto& page) { on(page, news); }, *reply);
    news.revision = revision_;
    return news;
}

void contract_watcher::on(const object_page& page, watch_update& news) {
    read_contracts(page.items, news);
    list_revision_ = std::min(list_revision_.value_or(page.revision), page.revision);
    if (page.more && !page.items.empty()) {
        after_ = page.items.back().id.name;
        return;
    }
    is_listing_ = false;
    revision_ = std::max(revision_, *list_revision_);
    after_.clear();
    list_revision_.reset();
}

void contract_watcher::on(const watch_page& page, watch_update& news) {
    read_contracts(page.changes, news);
    if (page.gap) {
        is_listing_ = true;
        revision_ = 0;
        return;
    }
    if (page.revision >= revision_) {
        revision_ = page.revision;
        news.confirmed = sent_;
    }
}

void contract_watcher::read_contracts(std::span<const stored_object> objects, watch_update& news) {
    for (const auto& object : objects) {
        if (object.deleted) {
            contract_version retired{object.version, {}};
            retired.value.workspace = object.id.name;
            retired.value.state = contract_state::retired;
            news.contracts.push_back(std::move(retired));
            continue;
        }
        auto value = read_contract(object);
        if (value) {
            news.contracts.push_back(std::move(*value));
        } else {
            ++rejected_;
        }
    }
}

void contract_watcher::delay(time_point now) {
    backoff_ = std::clamp(backoff_ * 2, first_backoff, longest_backoff);
    std::uniform_int_distribution<std::int64_t> jitter{backoff_.count() / 2, backoff_.count()};
    not_before_ = now + std::chrono::milliseconds{jitter(random_)};
}

} // namespace magnolia
