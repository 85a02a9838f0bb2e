/// Connects a gateway's quarantine to the other gateways and to the platform's store: sends what it
/// learned, keeps verdicts durable, logs its changes.
#pragma once

#include "host_directory.h"
#include "peer_gossip.h"
#include "platform_client.h"
#include "prompt_quarantine.h"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace magnolia {

/// Owned by the gateway. Not thread-safe: all calls and handlers run on the thread of the I/O
/// context. The references must outlive it.
class quarantine_exchange {
public:
    /// @param host        name of this gateway.
    /// @param origin      random number of this start of the process.
    /// @param on_blocked  called after a combination was blocked, not from inside a call to this
    ///                    object or to the quarantine.
    quarantine_exchange(boost::asio::io_context& context, prompt_quarantine& quarantine,
                        peer_gossip& gossip, const host_directory& hosts, platform_client& store,
                        std::string host, std::uint64_t origin, std::function<void()> on_blocked);

    /// To be called after new evidence was passed to the quarantine. Sends and logs in the next
    /// turn of the event loop.
    void schedule_flush();
    void on_update(const quarantine_update& update);
    /// A digest of another gateway arrived. One whose verdicts differ in two digests in a row is
    /// sent those of this gateway.
    void on_digest(std::uint64_t hash, const std::string& peer);
    /// Sends all crashes and verdicts to a gateway that has just started.
    void send_snapshot(const std::string& peer);
    /// Reads the stored verdicts for the first time. Call once the store answers.
    void start();
    /// The store was restored from a copy: reads the verdicts again and writes those that it lacks.
    void on_store_restored();
    /// Periodic work: repeats recent reports, reads and writes the store, forgets what is too old.
    void tick(time_point now);
    /// Whether the stored verdicts were read, or could not be read for some time after start().
    [[nodiscard]] bool is_loaded(time_point now) const;

private:
    /// Object of the store with one verdict.
    struct stored_verdict {
        std::uint64_t version = 0;
        stored_quarantine value;
    };

    void flush();
    void send(std::vector<quarantine_update> updates);
    void set_sender(quarantine_update& update) const;
    void load();
    void on_list(const std::vector<stored_object>& objects);
    /// Applies a stored verdict, or an operator's decision to lift it.
    void apply_stored(const stored_verdict& stored);
    /// Writes this gateway's verdicts that the store lacks; with `includes_others` also those of
    /// other gateways, a random part of them.
    void store_verdicts(bool includes_others);
    void store_verdict(const quarantined_prompt& verdict);
    /// Deletes stored verdicts that no gateway applies any more, a random part of them.
    void delete_outdated();
    void log_change(const quarantine_change& change) const;

    boost::asio::io_context& context_;
    prompt_quarantine& quarantine_;
    peer_gossip& gossip_;
    const host_directory& hosts_;
    platform_client& store_;
    std::string host_;
    std::uint64_t origin_;
    std::function<void()> on_blocked_;
    std::mt19937_64 random_;
    boost::asio::steady_timer flush_timer_;
    /// Time for which the timer is set; max() if it is not set.
    time_point flush_due_ = time_point::max();
    bool is_flush_posted_ = false;
    /// Digests in a row with other verdicts than this gateway's, by sender.
    std::map<std::string, int> differing_digests_;
    time_point started_at_{};
    bool was_read_ = false;
    bool is_loading_ = false;
    /// The last read failed.
    bool is_disconnected_ = false;
    time_point next_load_{};
    /// Time of the next read that must not be stale.
    time_point next_fresh_load_{};
    /// By name of the object.
    std::map<std::string, stored_verdict> stored_;
    std::set<std::string> pending_writes_;
    time_point next_write_{};
};

} // namespace magnolia
