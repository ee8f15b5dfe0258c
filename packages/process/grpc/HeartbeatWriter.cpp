#include "HeartbeatWriter.h"

#include "WireSize.h"

namespace anvilwalk {

namespace {

    // Time that the orderly close of a stream may take after its lifetime.
    constexpr std::chrono::seconds closeGrace { 5 };

} // namespace

HeartbeatWriter::HeartbeatWriter(const GrpcPeerClientOptions& options, std::atomic<std::uint64_t>& bytesSent)
    : m_options(options)
    , m_bytesSent(bytesSent)
    , m_openedAt(std::chrono::steady_clock::now())
    , m_waitingSince(m_openedAt)
{
}

std::shared_ptr<HeartbeatWriter> HeartbeatWriter::open(
    peer::Peer::Stub& stub, const GrpcPeerClientOptions& options, std::atomic<std::uint64_t>& bytesSent)
{
    std::shared_ptr<HeartbeatWriter> writer(new HeartbeatWriter(options, bytesSent));
    writer->m_self = writer;
    writer->m_context.set_deadline(std::chrono::system_clock::now() + options.streamLifetime + closeGrace);
    stub.async()->Heartbeats(&writer->m_context, &writer->m_summary, writer.get());
    // Writes start outside of the reactor's own callbacks.
    writer->AddHold();
    writer->StartCall();
    return writer;
}

void HeartbeatWriter::send(const peer::Heartbeat& heartbeat, Time now)
{
    bool removeHold = false;
    bool cut = false;
    {
        const std::lock_guard lock(m_mutex);
        m_pending = heartbeat;
        if (m_ended || m_closing)
            return;
        const bool waits = !m_accepted || m_isWriting;
        if (waits && now - m_waitingSince > m_options.streamTimeout) {
            cut = true;
            removeHold = endStream();
        } else if (!waits && now - m_openedAt > m_options.streamLifetime) {
            m_closing = true;
            StartWritesDone();
            removeHold = endStream();
        } else if (!waits) {
            startWrite();
        }
    }
    if (cut)
        m_context.TryCancel();
    if (removeHold)
        RemoveHold();
}

void HeartbeatWriter::cancel()
{
    bool removeHold = false;
    {
        const std::lock_guard lock(m_mutex);
        removeHold = endStream();
    }
    m_context.TryCancel();
    if (removeHold)
        RemoveHold();
}

void HeartbeatWriter::join()
{
    std::unique_lock lock(m_mutex);
    m_doneCondition.wait(lock, [this] { return m_done; });
}

bool HeartbeatWriter::ended() const
{
    const std::lock_guard lock(m_mutex);
    return m_ended;
}

bool HeartbeatWriter::wasAccepted() const
{
    const std::lock_guard lock(m_mutex);
    return m_accepted;
}

std::optional<peer::Heartbeat> HeartbeatWriter::takePending()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_pending, std::nullopt);
}

void HeartbeatWriter::startWrite()
{
    m_writing = std::move(*m_pending);
    m_pending.reset();
    m_isWriting = true;
    m_waitingSince = std::chrono::steady_clock::now();
    m_bytesSent += wireSize(m_writing);
    StartWrite(&m_writing);
}

bool HeartbeatWriter::endStream() { return !std::exchange(m_ended, true); }

void HeartbeatWriter::OnReadInitialMetadataDone(bool ok)
{
    bool removeHold = false;
    {
        const std::lock_guard lock(m_mutex);
        m_accepted = ok;
        if (!ok)
            removeHold = endStream();
        else if (m_pending && !m_ended && !m_isWriting)
            startWrite();
    }
    if (removeHold)
        RemoveHold();
}

void HeartbeatWriter::OnWriteDone(bool ok)
{
    bool removeHold = false;
    {
        const std::lock_guard lock(m_mutex);
        m_isWriting = false;
        if (!ok) {
            // The heartbeat did not leave; the next stream sends it unless a newer one is there.
            if (!m_pending)
                m_pending = m_writing;
            removeHold = endStream();
        } else if (m_pending && !m_ended) {
            startWrite();
        }
    }
    if (removeHold)
        RemoveHold();
}

void HeartbeatWriter::OnDone(const grpc::Status&)
{
    const std::shared_ptr<HeartbeatWriter> self = std::move(m_self);
    const std::lock_guard lock(m_mutex);
    m_ended = true;
    m_done = true;
    m_doneCondition.notify_all();
}

} // namespace anvilwalk
