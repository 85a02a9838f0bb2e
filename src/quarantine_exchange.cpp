#include "quarantine_exchange.h"

#include "json_text.h"
#include "log.h"
#include "schema_reader.h"

#include <magnolia/config.h>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

/// Kind of the objects with verdicts.
constexpr auto quarantine_kind = "quarantine";
/// Time between two reads of the stored verdicts.
constexpr milliseconds list_interval{10000};
/// Time after a write that failed until the next one.
constexpr milliseconds write_retry_interval{2000};
/// Time between two reads that must not be stale.
constexpr milliseconds fresh_list_interval{60000};
/// Age from which a stored verdict is deleted: the longest block, and as long again.
constexpr std::chrono::hours max_stored_age{48};
/// Time after start() from which the gateway serves although it could not read them.
constexpr milliseconds max_load_time{2000};
/// Age from which a verdict is stored: its combination has mostly become narrow by then.
constexpr milliseconds min_stored_age{1000};
/// Digests in a row with other verdicts after which the sender gets those of this gateway.
constexpr int max_differing_digests = 2;
/// Times of two hosts are compared with this tolerance.
constexpr std::int64_t clock_tolerance_ms = config::max_clock_error.count();

const logger& log_of() {
    static const logger log{"quarantine"};
    return log;
}

std::int64_t wall_ms() {
    const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(since_1970).count();
}

/// Name of the object with the combination. The ids of segments are input of callers.
std::string object_name(const segment_list& segments) {
    const auto text = join(segments);
    return "q" + std::to_string(XXH3_64bits(text.data(), text.size()));
}

stored_quarantine to_stored(const quarantined_prompt& verdict, time_point now) {
    const auto age = std::chrono::duration_cast<milliseconds>(now - verdict.blocked_at);
    return {.segments = verdict.segments,
            .blocked_at_ms = wall_ms() - age.count(),
            .block_time = std::chrono::duration_cast<milliseconds>(verdict.blocked_until -
                                                                   verdict.blocked_at),
            .repetitions = verdict.repetitions,
            .backends = verdict.backends,
            .reporters = verdict.reporters};
}

} // namespace

quarantine_exchange::quarantine_exchange(boost::asio::io_context& context,
                                         prompt_quarantine& quarantine, peer_gossip& gossip,
                                         const host_directory& hosts, platform_client& store,
                                         std::string host, std::uint64_t origin,
                                         std::function<void()> on_blocked)
    : context_{context}, quarantine_{quarantine}, gossip_{gossip}, hosts_{hosts}, store_{store},
      host_{std::move(host)}, origin_{origin}, on_blocked_{std::move(on_blocked)}, random_{origin},
      flush_timer_{context} {}

// Other gateways.

void quarantine_exchange::schedule_flush() {
    if (std::exchange(is_flush_posted_, true)) {
        return;
    }
    boost::asio::post(context_, [this] {
        is_flush_posted_ = false;
        flush();
    });
}

void quarantine_exchange::flush() {
    quarantine_.set_peer_count(hosts_.live_count());
    quarantine_.poll(steady_now());
    send(quarantine_.take_updates(steady_now(), false));
    bool is_any_blocked = false;
    for (const auto& change : quarantine_.take_changes()) {
        log_change(change);
        is_any_blocked = is_any_blocked || change.what == quarantine_change::kind::blocked;
    }
    if (is_any_blocked) {
        on_blocked_();
    }
    const auto due = quarantine_.next_due();
    if (due == time_point::max() || due >= flush_due_) {
        return;
    }
    flush_due_ = due;
    flush_timer_.expires_at(std::chrono::steady_clock::time_point{due.time_since_epoch()});
    flush_timer_.async_wait([this](const auto& failure) {
        if (!failure) {
            flush_due_ = time_point::max();
            flush();
        }
    });
}

void quarantine_exchange::send(std::vector<quarantine_update> updates) {
    if (updates.empty()) {
        return;
    }
    std::vector<std::string> receivers;
    std::ranges::transform(hosts_.alive(), std::back_inserter(receivers), &member_info::name);
    std::erase(receivers, host_);
    for (auto& update : updates) {
        set_sender(update);
        gossip_.send(std::move(update), receivers);
    }
}

void quarantine_exchange::set_sender(quarantine_update& update) const {
    update.sender = host_;
    update.origin = origin_;
}

void quarantine_exchange::on_update(const quarantine_update& update) {
    if (update.origin == origin_) {
        return;
    }
    quarantine_.apply_update(update, steady_now());
    schedule_flush();
}

void quarantine_exchange::on_digest(std::uint64_t hash, const std::string& peer) {
    if (hash == quarantine_.hash()) {
        differing_digests_.erase(peer);
    } else if (++differing_digests_[peer] >= max_differing_digests) {
        differing_digests_.erase(peer);
        send_snapshot(peer);
    }
}

void quarantine_exchange::send_snapshot(const std::string& peer) {
    for (auto& update : quarantine_.snapshot(steady_now())) {
        set_sender(update);
        gossip_.send(std::move(update), std::span{&peer, 1});
    }
}

// Store.

void quarantine_exchange::start() {
    if (started_at_ != time_point{}) {
        return;
    }
    started_at_ = steady_now();
    load();
}

void quarantine_exchange::on_store_restored() {
    stored_.clear();
    next_load_ = {};
    next_fresh_load_ = {};
}

bool quarantine_exchange::is_loaded(time_point now) const {
    return was_read_ || (started_at_ != time_point{} && now - started_at_ >= max_load_time);
}

void quarantine_exchange::tick(time_point now) {
    quarantine_.expire(now);
    send(quarantine_.take_updates(now, true));
    if (started_at_ == time_point{}) {
        return;
    }
    if (now >= next_load_) {
        load();
    }
    store_verdicts(false);
}

void quarantine_exchange::load() {
    if (std::exchange(is_loading_, true)) {
        return;
    }
    const bool is_fresh = steady_now() >= next_fresh_load_;
    store_.list_all({.kind = quarantine_kind, .after = {}, .limit = 0, .may_be_stale = !is_fresh},
                    call_priority::configuration,
                    [this, is_fresh](const result<std::vector<stored_object>>& objects) {
                        is_loading_ = false;
                        next_load_ = steady_now() + list_interval;
                        if (!objects) {
                            // A gateway that has just started needs the list; for others the gossip
                            // suffices.
                            next_load_ = was_read_ ? next_load_ : time_point{};
                            if (!std::exchange(is_disconnected_, true)) {
                                log_of().warn(
                                    "stored verdicts not read, keeps those known and retries: " +
                                    to_string(objects.error()));
                            }
                            return;
                        }
                        is_disconnected_ = false;
                        was_read_ = true;
                        next_load_ = steady_now() + list_interval;
                        if (is_fresh) {
                            next_fresh_load_ = steady_now() + fresh_list_interval;
                            stored_.clear();
                        }
                        on_list(*objects);
                    });
}

void quarantine_exchange::on_list(const std::vector<stored_object>& objects) {
    for (const auto& object : objects) {
        stored_verdict stored{.version = object.version, .value = {}};
        schema_reader reader{unknown_keys::accept};
        read(parse_json(object.value), reader, stored.value);
        if (!reader.errors().empty() || stored.value.segments.empty()) {
            log_of().warn("stored verdict " + object.id.name + " not readable, ignored");
            continue;
        }
        const auto known = stored_.find(object.id.name);
        if (known != stored_.end() && known->second.version > object.version) {
            continue; // The list is stale.
        }
        apply_stored(stored);
        stored_[object.id.name] = std::move(stored);
    }
    store_verdicts(true);
    delete_outdated();
    schedule_flush();
}

void quarantine_exchange::delete_outdated() {
    std::uniform_int_distribution<std::size_t> choice{0, hosts_.live_count()};
    for (const auto& [name, stored] : stored_) {
        const auto age = milliseconds{wall_ms() - stored.value.blocked_at_ms};
        if (age > max_stored_age && choice(random_) == 0) {
            store_.execute(object_delete{{quarantine_kind, name}, stored.version},
                           call_priority::status, [name = name](const auto& reply) {
                               log_of().info("outdated verdict " + name +
                                             (reply ? " deleted" : " not deleted"));
                           });
        }
    }
}

void quarantine_exchange::apply_stored(const stored_verdict& stored) {
    const auto now = steady_now();
    const auto& value = stored.value;
    const auto blocked_at =
        now - milliseconds{std::max<std::int64_t>(wall_ms() - value.blocked_at_ms, 0)};
    if (!value.is_lifted) {
        return quarantine_.adopt({.segments = value.segments,
                                  .last_crash = blocked_at,
                                  .blocked_at = blocked_at,
                                  .blocked_until = blocked_at + value.block_time,
                                  .repetitions = value.repetitions,
                                  .backends = value.backends,
                                  .reporters = value.reporters},
                                 now);
    }
    // A verdict after the operator's decision stands.
    const bool is_outdated = std::ranges::any_of(quarantine_.verdicts(), [&](const auto& verdict) {
        return verdict.segments == value.segments &&
               verdict.blocked_at > blocked_at + config::max_clock_error;
    });
    if (!is_outdated) {
        quarantine_.lift(value.segments, now);
    }
}

void quarantine_exchange::store_verdicts(bool includes_others) {
    const auto now = steady_now();
    std::uniform_int_distribution<std::size_t> choice{0, hosts_.live_count()};
    for (const auto& verdict : quarantine_.verdicts()) {
        // Any gateway may store it, as the one that reached it may have ended.
        const bool is_writer = verdict.is_own_verdict || (includes_others && choice(random_) == 0);
        if (!was_read_ || !is_writer || now - verdict.blocked_at < min_stored_age) {
            continue;
        }
        const auto known = stored_.find(object_name(verdict.segments));
        const bool is_stored =
            known != stored_.end() && known->second.value.blocked_at_ms + clock_tolerance_ms >=
                                          to_stored(verdict, now).blocked_at_ms;
        if (!is_stored) {
            store_verdict(verdict);
        }
    }
}

void quarantine_exchange::store_verdict(const quarantined_prompt& verdict) {
    const auto name = object_name(verdict.segments);
    if (steady_now() < next_write_ || !pending_writes_.insert(name).second) {
        return;
    }
    const auto value = to_stored(verdict, steady_now());
    const auto known = stored_.find(name);
    const auto version = known == stored_.end() ? 0 : known->second.version;
    store_.execute(
        object_put{{quarantine_kind, name}, version, write_json(value)},
        call_priority::configuration, [this, name, value](const result<platform_reply>& reply) {
            pending_writes_.erase(name);
            if (reply) {
                const auto& written = std::get<stored_object>(*reply);
                stored_[name] = {.version = written.version, .value = value};
            } else if (reply.error().code == error_code::conflict) {
                // Another gateway wrote it.
                next_load_ = next_fresh_load_ = {};
            } else {
                next_write_ = steady_now() + write_retry_interval;
                log_of().warn("verdict not stored, retries: " + to_string(reply.error()));
            }
        });
}

void quarantine_exchange::log_change(const quarantine_change& change) const {
    const auto& prompt = change.prompt;
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(prompt.blocked_until - prompt.blocked_at);
    const auto fields = " segments=" + join(prompt.segments) +
                        " backends=" + join(prompt.backends) +
                        " reporters=" + join(prompt.reporters);
    switch (change.what) {
    case quarantine_change::kind::blocked:
        return log_of().warn("prompts with these segments crash backend servers and are blocked"
                             " block_s=" +
                             std::to_string(seconds.count()) +
                             " repetitions=" + std::to_string(prompt.repetitions) + fields);
    case quarantine_change::kind::narrowed:
        return log_of().info("answers to other prompts began, fewer segments are blocked" + fields);
    case quarantine_change::kind::released:
        return log_of().warn("prompts with these segments pass again" + fields);
    case quarantine_change::kind::table_full:
        return log_of().error("too many blocked combinations, prompts pass" + fields);
    }
}

} // namespace magnolia
