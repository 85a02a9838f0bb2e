/// Reads objects of the platform's store for one host: from the store itself, or from another host
/// that watches it for the zone (object_relay). All calls are reads, so that one that fails is
/// simply made again elsewhere.
#pragma once

#include "http_client.h"
#include "platform_client.h"
#include "read_source.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <random>

namespace magnolia {

/// A reply and what its source knows about it.
struct sourced_reply {
    result<platform_reply> reply;
    /// Time since the store confirmed it.
    duration age{0};
    /// Time since the source reached the store again after an outage; absent if there was none or
    /// the reply is the store's own.
    std::optional<duration> since_reconnect;
    bool is_from_store = true;
    /// The source has lost the store, and there is no better one.
    bool is_lost = false;
};

/// Owned by the gateway, shared by its watchers. Not thread-safe: calls and handlers run on the
/// thread of the platform client.
class store_reader {
public:
    using reply_handler = std::function<void(const sourced_reply& reply)>;

    /// A host that reads from the store itself.
    struct relay {
        std::string host;
        endpoint address;
    };

    /// @param timeout  longest time until a reply, for a watch in addition to its wait.
    store_reader(boost::asio::io_context& context, platform_client& store, std::uint64_t seed,
                 std::chrono::milliseconds timeout);

    /// Sets the hosts to read from (read_source).
    void set_relays(const std::vector<relay>& near, const std::vector<relay>& far,
                    std::size_t host_count);
    /// Age of what a relay has from which the store may have more.
    void set_max_age(duration age) { sources_.set_max_age(age); }
    /// Sets the object that is read to find out whether the store answers again, while this host
    /// reads elsewhere as its own calls have failed. Without one it does not find out.
    void set_probe(object_id id) { probe_ = std::move(id); }
    /// Another host has told a newer state for some time. The next call goes to a better source.
    void on_lag(const relay& teller);
    /// Whether the next call goes to the store.
    [[nodiscard]] bool reads_from_store() const;
    /// Whether the last call of this host to the store has failed.
    [[nodiscard]] bool is_store_failing() const { return sources_.is_store_failing(); }
    /// Last moment at which a call to the store failed, or a source said that it has lost it;
    /// time_point{} if never.
    [[nodiscard]] time_point outage_seen_at() const { return outage_seen_at_; }

    /// Calls the function after the pause, unless this object has ended.
    void call_after(std::chrono::milliseconds pause, std::function<void()> function);
    /// Executes a list or a watch. Errors: those of platform_client::execute(), from the store.
    void read(platform_call call, reply_handler done);

private:
    [[nodiscard]] double draw();
    void ask_store(platform_call call, reply_handler done);
    void ask(const relay& target, const read_choice& choice, platform_call call,
             reply_handler done);
    /// Uses the reply of a relay, or asks another source.
    void on_relayed(const std::string& host, bool accepts_loss, platform_call call,
                    result<sourced_reply> reply, const reply_handler& done);
    /// Asks the store, while reads wait at other hosts, whether it answers this host again.
    void probe_store();
    void on_store_reply(const result<platform_reply>& reply);
    /// Makes the reads that wait at other hosts again.
    void withdraw_relayed_reads();
    /// Decodes the response of a relay. Errors: platform_down if it has no reply or an older one.
    [[nodiscard]] result<sourced_reply> decode(const platform_call& call,
                                               const http_response& response);
    /// Logs why another source is asked.
    void log_change(const std::string& host, std::string_view reason) const;

    boost::asio::io_context& context_;
    platform_client& store_;
    http_client client_;
    std::mt19937_64 random_;
    std::chrono::milliseconds timeout_;
    read_source sources_;
    /// Addresses of the relays, by name.
    std::map<std::string, endpoint, std::less<>> addresses_;
    relay teller_;
    std::optional<object_id> probe_;
    bool is_probing_ = false;
    time_point outage_seen_at_{};
    /// Reads at other hosts, by number.
    std::map<std::uint64_t, http_call_id> relayed_reads_;
    std::uint64_t next_read_ = 0;
    std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

/// Fields of the header of a relay's response.
inline constexpr std::string_view relayed_age_field = "Magnolia-Age-Ms";
inline constexpr std::string_view relayed_reconnect_field = "Magnolia-Reconnect-Age-Ms";
/// The source has lost the store.
inline constexpr std::string_view relayed_loss_field = "Magnolia-Store-Lost";
/// Field of a request: answer at once if the store is lost, also while the request waits.
inline constexpr std::string_view report_loss_field = "Magnolia-Report-Loss";
/// Field of a request: epoch of the position that it names.
inline constexpr std::string_view relayed_epoch_field = "Magnolia-Epoch";

} // namespace magnolia
