#include "engine_client.h"

#include "backend_call.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <map>

namespace magnolia {
namespace {

/// Maximum body of a stream, bytes: the longest answer with one line per token.
constexpr std::size_t max_stream_bytes = std::size_t{512} << 20U;
/// Maximum length of a line of a stream, bytes.
constexpr std::size_t max_line_bytes = config::max_frame_bytes;
/// Interval at which undelivered events are offered to the sink again.
constexpr std::chrono::milliseconds redelivery_interval{2};
/// Attempts of a cancel that is not answered.
constexpr int max_cancel_attempts = 5;
constexpr std::chrono::milliseconds cancel_retry_interval{500};
/// Period of the timer that starts due load queries.
constexpr std::chrono::milliseconds load_poll_tick{20};
constexpr unsigned status_ok = 200;

/// A start or prefill part and the stream of its answer.
struct engine_stream {
    attempt_id id;
    std::string id_text;
    engine_handle engine;
    http_call_id call;
    /// Expected offset of the next token.
    std::uint32_t next_offset = 0;
    unsigned status = 0;
    bool has_run = false;
    bool has_ended = false;
    /// Incomplete line, or the body of a refusal.
    std::string buffer;
    /// Tokens of the data being parsed, delivered as one event.
    engine_tokens pending;
};

using stream_pointer = std::shared_ptr<engine_stream>;

/// An engine and the state of its load queries.
struct engine_state {
    engine_backend backend;
    bool is_poll_pending = false;
    std::chrono::steady_clock::time_point next_poll;
};

/// Event that the sink did not accept.
struct undelivered_event {
    engine_handle engine;
    engine_event event;
};

/// Whether an event belongs to a reservation rather than to a stream.
bool is_reservation_event(const engine_event& event) {
    const auto* failed = std::get_if<engine_failed>(&event);
    return std::holds_alternative<engine_reserved>(event) ||
           std::holds_alternative<engine_released>(event) ||
           (failed != nullptr && !failed->reservation.empty());
}

http_request get(std::string target) {
    http_request request;
    request.target = std::move(target);
    return request;
}

attempt_id attempt_of(const engine_event& event) {
    return std::visit([](const auto& value) { return value.id; }, event);
}

} // namespace

class engine_client::state : public std::enable_shared_from_this<engine_client::state> {
public:
    state(boost::asio::io_context& context, engine_client_settings settings)
        : context_{context}, settings_{std::move(settings)},
          http_{std::in_place, context, settings_.max_idle}, redelivery_timer_{context},
          load_poll_timer_{context} {}

    void put(engine_handle engine, engine_backend backend) {
        engines_[engine].backend = std::move(backend);
        schedule_load_poll();
    }
    void remove(engine_handle engine) { engines_.erase(engine); }
    void submit(const engine_command& command) {
        std::visit([this](const auto& value) { run(value); }, command);
    }
    void close() {
        is_closed_ = true;
        http_.reset();
        redelivery_timer_.cancel();
        load_poll_timer_.cancel();
    }

    template <class T, class Decode>
    void query(engine_handle engine, http_request request, Decode decode,
               std::function<void(result<T>)> done);

    engine_event_sink event_sink;
    engine_report_sink report_sink;
    std::map<std::uint64_t, stream_pointer> streams;

private:
    void run(const engine_start& command) {
        open_stream(command, command.resume_offset, command.time_left);
    }
    void run(const engine_prefill_part& command) { open_stream(command, 0, command.time_left); }
    void run(const engine_cancel& command);
    void run(const engine_reserve& command) {
        send_call(command, engine_reserved{command.id, command.engine, command.reservation});
    }
    void run(const engine_release& command) {
        send_call(command, engine_released{command.id, command.engine, command.reservation});
    }

    /// Sends a start or prefill part and streams its answer. @param offset  expected offset of the
    /// first token.
    template <class Command>
    void open_stream(const Command& command, std::uint32_t offset, duration time_left);
    /// Sends a call that is answered at once; delivers `success` or engine_failed.
    template <class Command>
    void send_call(const Command& command, engine_event success);
    /// Sends a cancel, repeated until it is answered or no attempts are left.
    void send_cancel(const engine_cancel& command, int attempts_left);

    void on_body(const stream_pointer& stream, std::string_view text);
    void parse_lines(const stream_pointer& stream);
    /// Delivers the tokens parsed since the last flush as one event.
    void flush_tokens(const stream_pointer& stream);
    void on_line(const stream_pointer& stream, std::string_view line);
    void on_end(const stream_pointer& stream, const http_failure* failure);
    void on_value(const stream_pointer& stream, engine_tokens value);
    void on_value(const stream_pointer& stream, engine_accepted value);
    void on_value(const stream_pointer&, engine_keepalive) {}
    template <class Last>
    void on_value(const stream_pointer& stream, Last value) {
        flush_tokens(stream);
        stream->has_ended = true;
        deliver(stream->engine, std::move(value));
    }
    /// Ends a stream with a protocol error and cancels its attempt on the engine.
    void abort_stream(const stream_pointer& stream, error failure);
    /// Delivers not_run for a command to an engine that was never added or has been removed.
    void post_unknown_engine(const attempt_id& id, engine_handle engine, std::string reservation);

    /// Passes an event to the sink; queues it behind earlier ones that were not accepted.
    void deliver(engine_handle engine, engine_event event);
    /// Offers the queued events to the sink and resumes the streams once all are accepted.
    void redeliver();
    void schedule_redelivery();
    void schedule_load_poll();
    /// Sends the load queries that are due.
    void poll_loads();
    void poll_load(engine_handle engine);

    [[nodiscard]] const endpoint* address_of(engine_handle engine) const;
    [[nodiscard]] std::string name_of(engine_handle engine) const;
    [[nodiscard]] memory_owner owner_of(const attempt_id& id) const {
        return {settings_.owner, id.request.origin};
    }
    [[nodiscard]] http_call_limits limits() const {
        return {settings_.connect_timeout, settings_.inactivity_timeout, settings_.call_timeout};
    }
    template <class Command>
    [[nodiscard]] http_request request_for(const Command& command) const {
        return std::visit(
            [&](const http_engine&) {
                return encode(command, owner_of(command.id),
                              [this](engine_handle engine) { return name_of(engine); });
            },
            engines_.at(command.engine).backend);
    }

    boost::asio::io_context& context_;
    engine_client_settings settings_;
    std::optional<http_client> http_;
    std::map<engine_handle, engine_state> engines_;
    /// Events that the sink did not accept, oldest first.
    std::deque<undelivered_event> undelivered_;
    boost::asio::steady_timer redelivery_timer_;
    boost::asio::steady_timer load_poll_timer_;
    bool is_load_poll_scheduled_ = false;
    bool is_closed_ = false;
};

const endpoint* engine_client::state::address_of(engine_handle engine) const {
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return nullptr;
    }
    return std::visit([](const http_engine& value) { return &value.address; },
                      found->second.backend);
}

std::string engine_client::state::name_of(engine_handle engine) const {
    const auto* address = address_of(engine);
    return address == nullptr ? std::string{}
                              : address->address + ":" + std::to_string(address->port);
}

void engine_client::state::post_unknown_engine(const attempt_id& id, engine_handle engine,
                                               std::string reservation) {
    boost::asio::post(context_, [self = shared_from_this(), id, engine,
                                 reservation = std::move(reservation)]() mutable {
        self->deliver(engine,
                      engine_failed{id, engine, std::move(reservation),
                                    error{error_code::no_capacity, "engine is not registered", {}},
                                    run_certainty::not_run, false});
    });
}

template <class Command>
void engine_client::state::open_stream(const Command& command, std::uint32_t offset,
                                       duration time_left) {
    const auto* address = address_of(command.engine);
    if (address == nullptr) {
        post_unknown_engine(command.id, command.engine, {});
        return;
    }
    const auto stream = std::make_shared<engine_stream>();
    stream->id = command.id;
    stream->id_text = to_string(command.id);
    stream->engine = command.engine;
    stream->next_offset = offset;
    auto call_limits = limits();
    call_limits.total_timeout = timeout_with_grace(time_left);
    call_limits.max_body_bytes = max_stream_bytes;
    // A late refusal of an earlier call on the connection would pass for one of this call.
    call_limits.may_reuse_connection = false;
    const auto self = shared_from_this();
    http_stream_handlers handlers;
    handlers.on_header = [stream](const http_response_head& head) { stream->status = head.status; };
    handlers.on_body = [self, stream](std::string_view text) { self->on_body(stream, text); };
    handlers.on_end = [self, stream](const http_failure* failure) {
        self->on_end(stream, failure);
    };
    stream->call = http_->stream(*address, request_for(command), call_limits, std::move(handlers));
    streams.emplace(stream->call.value, stream);
}

void engine_client::state::on_body(const stream_pointer& stream, std::string_view text) {
    if (stream->has_ended) {
        return;
    }
    stream->buffer += text;
    if (stream->status == status_ok) {
        parse_lines(stream);
        flush_tokens(stream);
    }
    if (!stream->has_ended && stream->buffer.size() > max_line_bytes) {
        abort_stream(stream,
                     {error_code::frame_invalid, "stream line exceeds the maximum length", {}});
    }
    if (!undelivered_.empty()) {
        http_->pause(stream->call);
    }
}

void engine_client::state::parse_lines(const stream_pointer& stream) {
    std::size_t begin = 0;
    const std::string text = std::exchange(stream->buffer, {});
    for (auto end = text.find('\n'); end != std::string::npos && !stream->has_ended;
         end = text.find('\n', begin)) {
        on_line(stream, std::string_view{text}.substr(begin, end - begin));
        begin = end + 1;
    }
    stream->buffer = text.substr(begin);
}

void engine_client::state::on_line(const stream_pointer& stream, std::string_view line) {
    auto decoded = decode_line(line, stream->id, stream->id_text, stream->engine);
    if (!decoded) {
        abort_stream(stream, decoded.error());
        return;
    }
    std::visit([&](auto& value) { on_value(stream, std::move(value)); }, *decoded);
}

void engine_client::state::on_value(const stream_pointer& stream, engine_accepted value) {
    stream->has_run = true;
    deliver(stream->engine, value);
}

void engine_client::state::on_value(const stream_pointer& stream, engine_tokens value) {
    stream->has_run = true;
    if (value.offset + value.count <= stream->next_offset) {
        return;
    }
    if (value.offset != stream->next_offset) {
        abort_stream(stream, {error_code::frame_invalid,
                              "token offset " + std::to_string(value.offset) +
                                  " received, expected " + std::to_string(stream->next_offset),
                              {}});
        return;
    }
    stream->next_offset += value.count;
    auto& pending = stream->pending;
    if (pending.count == 0) {
        pending = std::move(value);
        return;
    }
    pending.count += value.count;
    pending.text += value.text;
}

void engine_client::state::flush_tokens(const stream_pointer& stream) {
    if (stream->pending.count > 0) {
        deliver(stream->engine, std::exchange(stream->pending, {}));
    }
}

void engine_client::state::abort_stream(const stream_pointer& stream, error failure) {
    flush_tokens(stream);
    stream->has_ended = true;
    http_->cancel(stream->call);
    send_cancel({stream->id, stream->engine}, max_cancel_attempts);
    deliver(stream->engine,
            engine_failed{stream->id,
                          stream->engine,
                          {},
                          std::move(failure),
                          stream->has_run ? run_certainty::ran : run_certainty::unknown,
                          false});
}

void engine_client::state::on_end(const stream_pointer& stream, const http_failure* failure) {
    streams.erase(stream->call.value);
    if (stream->has_ended) {
        return;
    }
    stream->has_ended = true;
    engine_failed event{stream->id, stream->engine, {}, {}, run_certainty::ran, false};
    if (failure == nullptr && stream->status != status_ok) {
        auto refusal = decode_refusal(stream->status, stream->buffer);
        event.failure = std::move(refusal.failure);
        event.certainty = refusal.certainty;
        event.is_leaving = refusal.is_leaving;
    } else {
        event.failure =
            failure == nullptr
                ? error{error_code::backend_lost, "stream ended without a final event", {}}
                : to_backend_error(*failure);
        const auto unproven = failure == nullptr ? run_certainty::unknown : certainty_of(*failure);
        event.certainty = stream->has_run ? run_certainty::ran : unproven;
    }
    if (event.certainty != run_certainty::not_run) {
        send_cancel({stream->id, stream->engine}, max_cancel_attempts);
    }
    deliver(stream->engine, std::move(event));
}

void engine_client::state::run(const engine_cancel& command) {
    for (const auto& [number, stream] : streams) {
        if (stream->id == command.id && stream->engine == command.engine) {
            stream->has_ended = true;
            http_->cancel(stream->call);
        }
    }
    std::erase_if(undelivered_, [&command](const undelivered_event& item) {
        return item.engine == command.engine && attempt_of(item.event) == command.id &&
               !is_reservation_event(item.event);
    });
    send_cancel(command, max_cancel_attempts);
}

void engine_client::state::send_cancel(const engine_cancel& command, int attempts_left) {
    const auto* address = address_of(command.engine);
    if (address == nullptr || attempts_left == 0 || is_closed_) {
        return;
    }
    http_->call(*address, request_for(command), limits(),
                [self = shared_from_this(), command,
                 attempts_left](const tl::expected<http_response, http_failure>& answer) {
                    if (answer && answer->status == status_ok) {
                        return;
                    }
                    const auto timer = std::make_shared<boost::asio::steady_timer>(
                        self->context_, cancel_retry_interval);
                    timer->async_wait([self, command, attempts_left, timer](const auto& failure) {
                        if (!failure) {
                            self->send_cancel(command, attempts_left - 1);
                        }
                    });
                });
}

template <class Command>
void engine_client::state::send_call(const Command& command, engine_event success) {
    const auto* address = address_of(command.engine);
    if (address == nullptr) {
        post_unknown_engine(command.id, command.engine, command.reservation);
        return;
    }
    const auto done = [self = shared_from_this(), command, success = std::move(success)](
                          const tl::expected<http_response, http_failure>& answer) {
        if (answer && answer->status == status_ok) {
            self->deliver(command.engine, success);
            return;
        }
        engine_failed event{command.id, command.engine, command.reservation, {}, {}, false};
        if (answer) {
            auto refusal = decode_refusal(answer->status, answer->body);
            event.failure = std::move(refusal.failure);
            event.certainty = refusal.certainty;
            event.is_leaving = refusal.is_leaving;
        } else {
            event.failure = to_backend_error(answer.error());
            event.certainty = certainty_of(answer.error());
        }
        self->deliver(command.engine, std::move(event));
    };
    http_->call(*address, request_for(command), limits(), done);
}

void engine_client::state::deliver(engine_handle engine, engine_event event) {
    if (undelivered_.empty() && event_sink(event)) {
        return;
    }
    undelivered_.push_back({engine, std::move(event)});
    schedule_redelivery();
}

void engine_client::state::schedule_redelivery() {
    redelivery_timer_.expires_after(redelivery_interval);
    redelivery_timer_.async_wait([self = shared_from_this()](const auto& failure) {
        if (!failure && !self->is_closed_) {
            self->redeliver();
        }
    });
}

void engine_client::state::redeliver() {
    while (!undelivered_.empty() && event_sink(undelivered_.front().event)) {
        undelivered_.pop_front();
    }
    if (!undelivered_.empty()) {
        schedule_redelivery();
        return;
    }
    for (const auto& [number, stream] : streams) {
        http_->resume(stream->call);
    }
}

template <class T, class Decode>
void engine_client::state::query(engine_handle engine, http_request request, Decode decode,
                                 std::function<void(result<T>)> done) {
    const auto* address = address_of(engine);
    if (address == nullptr) {
        boost::asio::post(context_, [done = std::move(done)] {
            done(fail(error_code::no_capacity, "engine is not registered"));
        });
        return;
    }
    http_->call(
        *address, std::move(request), limits(),
        [decode, done = std::move(done)](const tl::expected<http_response, http_failure>& answer) {
            if (!answer) {
                done(tl::unexpected{to_backend_error(answer.error())});
            } else if (answer->status != status_ok) {
                done(tl::unexpected{decode_refusal(answer->status, answer->body).failure});
            } else {
                done(decode(answer->body));
            }
        });
}

void engine_client::state::schedule_load_poll() {
    if (is_load_poll_scheduled_ || settings_.load_interval.count() == 0) {
        return;
    }
    is_load_poll_scheduled_ = true;
    load_poll_timer_.expires_after(load_poll_tick);
    load_poll_timer_.async_wait([self = shared_from_this()](const auto& failure) {
        self->is_load_poll_scheduled_ = false;
        if (!failure && !self->is_closed_) {
            self->poll_loads();
        }
    });
}

void engine_client::state::poll_loads() {
    using std::chrono::milliseconds;
    const auto now = std::chrono::steady_clock::now();
    const milliseconds min_interval{engines_.size() * 1000 / settings_.max_load_queries_per_s};
    const auto interval = std::max(settings_.load_interval, min_interval);
    for (auto& [engine, state] : engines_) {
        if (state.is_poll_pending || state.next_poll > now) {
            continue;
        }
        // The first queries are spread over the interval by the engine's handle.
        const bool is_first = state.next_poll == std::chrono::steady_clock::time_point{};
        state.next_poll =
            now + interval + (is_first ? interval * (engine.value % 16) / 16 : milliseconds{0});
        poll_load(engine);
    }
    schedule_load_poll();
}

void engine_client::state::poll_load(engine_handle engine) {
    engines_.at(engine).is_poll_pending = true;
    const std::function<void(result<engine_load>)> done = [self = shared_from_this(),
                                                           engine](result<engine_load> load) {
        const auto found = self->engines_.find(engine);
        if (found == self->engines_.end()) {
            return;
        }
        found->second.is_poll_pending = false;
        if (self->report_sink) {
            self->report_sink({engine, std::move(load)});
        }
    };
    query<engine_load>(engine, get("/v1/load"), decode_load, done);
}

engine_client::engine_client(boost::asio::io_context& context, engine_client_settings settings)
    : state_{std::make_shared<state>(context, std::move(settings))} {
    state_->event_sink = [](engine_event&) { return true; };
}

engine_client::~engine_client() {
    state_->close();
}

void engine_client::set_event_sink(engine_event_sink sink) {
    state_->event_sink = std::move(sink);
}

void engine_client::set_report_sink(engine_report_sink sink) {
    state_->report_sink = std::move(sink);
}

void engine_client::put_engine(engine_handle engine, engine_backend backend) {
    state_->put(engine, std::move(backend));
}

void engine_client::remove_engine(engine_handle engine) {
    state_->remove(engine);
}

void engine_client::submit(const engine_command& command) {
    state_->submit(command);
}

void engine_client::order(const engine_order& order, std::function<void(result<void>)> done) {
    state_->query<void>(
        order.engine, encode(order), [](std::string_view) { return result<void>{}; },
        std::move(done));
}

void engine_client::status(engine_handle engine, std::function<void(result<engine_status>)> done) {
    state_->query<engine_status>(engine, get("/v1/status"), decode_status, std::move(done));
}

void engine_client::memory(engine_handle engine,
                           std::function<void(result<std::vector<held_memory>>)> done) {
    state_->query<std::vector<held_memory>>(engine, get("/v1/memory"), decode_memory,
                                            std::move(done));
}

std::size_t engine_client::active_streams() const {
    return state_->streams.size();
}

} // namespace magnolia
