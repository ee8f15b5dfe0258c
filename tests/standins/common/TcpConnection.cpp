#include "TcpConnection.h"

#include <algorithm>
#include <utility>

namespace anvilwalk::standins {

namespace {

    using std::chrono::milliseconds;

    // Leaves room for the relay header between balancers below an Ethernet frame's 1500 bytes.
    constexpr std::size_t maxSegmentBytes = 1200;
    constexpr std::uint32_t maxWindowSegments = 16;
    // Opening packets are sent again after 1, 3 and 7 s, as Linux does, and given up after 15 s.
    constexpr milliseconds openingTimeout { 1000 };
    constexpr unsigned maxOpeningRetries = 3;
    constexpr milliseconds dataTimeout { 300 };
    constexpr milliseconds maxDataTimeout { 2000 };
    constexpr unsigned maxDataRetries = 30;
    constexpr std::int32_t receiveWindow = 1 << 20;

    std::int32_t distance(std::uint32_t from, std::uint32_t to) { return static_cast<std::int32_t>(to - from); }

} // namespace

TcpConnection::TcpConnection(const FlowKey& key, std::uint32_t initialSequence, Time now)
    : m_key(key)
    , m_isServer(false)
    , m_initialSequence(initialSequence)
    , m_dataStart(initialSequence + 1)
    , m_sendUnacked(m_dataStart)
    , m_sendNext(m_dataStart)
    , m_sendMaximum(m_dataStart)
    , m_windowSegments(maxWindowSegments)
    , m_timeout(openingTimeout)
    , m_lastProgress(now)
{
}

TcpConnection::TcpConnection(const TcpSegment& opening, std::uint32_t initialSequence, Time now)
    : TcpConnection(reversed(opening.key), initialSequence, now)
{
    m_isServer = true;
    m_peerInitialSequence = opening.sequence;
    m_receiveNext = opening.sequence + 1;
}

void TcpConnection::receive(const TcpSegment& segment, Time now)
{
    if (m_state == State::Opening && m_isServer)
        receiveOpeningAsServer(segment, now);
    else if (m_state == State::Opening)
        receiveOpeningAsClient(segment, now);
    else if (m_state == State::Open)
        receiveOpen(segment, now);
    else if (m_state == State::Closed && segment.length() > 0 && !segment.rst)
        m_ackDue = true;
}

void TcpConnection::receiveOpeningAsClient(const TcpSegment& segment, Time now)
{
    if (!segment.ack || segment.acknowledgement != m_dataStart)
        return;
    if (segment.rst) {
        m_state = State::Reset;
        return;
    }
    if (!segment.syn)
        return;
    m_state = State::Open;
    m_peerInitialSequence = segment.sequence;
    m_receiveNext = segment.sequence + 1;
    m_ackDue = true;
    m_timerRuns = false;
    m_retries = 0;
    m_timeout = dataTimeout;
    m_lastProgress = now;
}

void TcpConnection::receiveOpeningAsServer(const TcpSegment& segment, Time now)
{
    if (segment.rst) {
        if (segment.sequence == m_receiveNext)
            m_state = State::Reset;
        return;
    }
    if (segment.syn) {
        m_openingDue = segment.sequence == m_peerInitialSequence;
        return;
    }
    if (!segment.ack || segment.acknowledgement != m_dataStart) {
        ++m_foreignSegments;
        return;
    }
    m_state = State::Open;
    m_timerRuns = false;
    m_retries = 0;
    m_timeout = dataTimeout;
    m_lastProgress = now;
    receiveOpen(segment, now);
}

void TcpConnection::receiveOpen(const TcpSegment& segment, Time now)
{
    const std::int32_t offset = distance(m_receiveNext, segment.sequence);
    if (segment.rst) {
        if (offset >= 0 && offset < receiveWindow)
            m_state = State::Reset;
        return;
    }
    if (segment.syn) {
        m_ackDue = true;
        return;
    }
    if (!acceptAcknowledgement(segment, now))
        return;
    if (segment.length() > 0)
        acceptData(segment, now);
    updateClosed();
}

bool TcpConnection::acceptAcknowledgement(const TcpSegment& segment, Time now)
{
    if (!segment.ack)
        return false;
    if (distance(m_sendMaximum, segment.acknowledgement) > 0) {
        ++m_foreignSegments;
        m_ackDue = true;
        return false;
    }
    const std::int32_t progress = distance(m_sendUnacked, segment.acknowledgement);
    if (progress <= 0)
        return true;
    m_sendBuffer.erase(0, static_cast<std::size_t>(progress));
    m_sendUnacked = segment.acknowledgement;
    if (distance(m_sendNext, m_sendUnacked) > 0)
        m_sendNext = m_sendUnacked;
    m_windowSegments = std::min(m_windowSegments + 1, maxWindowSegments);
    m_retries = 0;
    m_lastProgress = now;
    m_timerRuns = false;
    if (m_sendUnacked != m_sendMaximum)
        restartTimer(now, dataTimeout);
    return true;
}

void TcpConnection::acceptData(const TcpSegment& segment, Time now)
{
    m_ackDue = true;
    const std::int32_t offset = distance(m_receiveNext, segment.sequence);
    if (offset >= receiveWindow)
        return;
    if (segment.fin) {
        m_peerFinSeen = true;
        m_peerFinSequence = segment.sequence + static_cast<std::uint32_t>(segment.payload.size());
    }
    const std::uint32_t before = m_receiveNext;
    std::string& stored = m_outOfOrder[segment.sequence];
    if (stored.size() < segment.payload.size())
        stored = segment.payload;
    deliverInOrder();
    if (m_receiveNext != before)
        m_lastProgress = now;
}

void TcpConnection::deliverInOrder()
{
    bool delivered = true;
    while (delivered) {
        delivered = false;
        for (auto part = m_outOfOrder.begin(); part != m_outOfOrder.end();) {
            const std::int32_t skip = distance(part->first, m_receiveNext);
            if (skip < 0) {
                ++part;
                continue;
            }
            if (static_cast<std::size_t>(skip) < part->second.size()) {
                m_received.append(part->second, static_cast<std::size_t>(skip));
                m_receiveNext = part->first + static_cast<std::uint32_t>(part->second.size());
                delivered = true;
            }
            part = m_outOfOrder.erase(part);
        }
    }
    if (m_peerFinSeen && !m_peerClosed && m_receiveNext == m_peerFinSequence) {
        ++m_receiveNext;
        m_peerClosed = true;
    }
}

void TcpConnection::updateClosed()
{
    if (m_peerClosed && m_finQueued && m_sendUnacked == sendEnd())
        m_state = State::Closed;
}

void TcpConnection::tick(Time now)
{
    if (!m_timerRuns || now < m_retryAt)
        return;
    const bool opening = m_state == State::Opening;
    if (!opening && m_state != State::Open)
        return;
    if (m_retries >= (opening ? maxOpeningRetries : maxDataRetries)) {
        m_state = State::TimedOut;
        return;
    }
    ++m_retries;
    m_timerRuns = false;
    if (opening) {
        m_timeout *= 2;
        m_openingDue = true;
        return;
    }
    m_timeout = std::min(m_timeout * 2, maxDataTimeout);
    m_windowSegments = 1;
    m_sendNext = m_sendUnacked;
}

void TcpConnection::send(std::string_view data)
{
    m_sendBuffer.append(data);
    m_queuedBytes += static_cast<std::uint32_t>(data.size());
}

std::vector<TcpSegment> TcpConnection::takeSegments(Time now)
{
    std::vector<TcpSegment> segments;
    if (m_state == State::Opening) {
        if (m_openingDue) {
            m_openingDue = false;
            TcpSegment segment = makeSegment(m_initialSequence);
            segment.syn = true;
            segment.ack = m_isServer;
            segments.push_back(segment);
            if (!m_timerRuns)
                restartTimer(now, m_timeout);
        }
        return segments;
    }
    if (m_state == State::Open)
        appendData(segments, now);
    if (m_ackDue && segments.empty() && (m_state == State::Open || m_state == State::Closed))
        segments.push_back(makeSegment(m_sendNext));
    m_ackDue = false;
    return segments;
}

void TcpConnection::appendData(std::vector<TcpSegment>& segments, Time now)
{
    const std::uint32_t window = m_windowSegments * maxSegmentBytes;
    while (m_sendNext != sendEnd() && m_sendNext - m_sendUnacked < window) {
        const std::size_t begin = m_sendNext - m_sendUnacked;
        const std::size_t left = m_sendBuffer.size() - std::min(begin, m_sendBuffer.size());
        TcpSegment segment = makeSegment(m_sendNext);
        if (left > 0)
            segment.payload = m_sendBuffer.substr(begin, std::min(left, maxSegmentBytes));
        segment.fin = m_finQueued && segment.payload.size() == left;
        m_sendNext += segment.length();
        segments.push_back(std::move(segment));
    }
    if (distance(m_sendMaximum, m_sendNext) > 0)
        m_sendMaximum = m_sendNext;
    if (!segments.empty() && !m_timerRuns)
        restartTimer(now, m_timeout);
}

std::string TcpConnection::takeReceived() { return std::exchange(m_received, {}); }

TcpSegment TcpConnection::makeSegment(std::uint32_t sequence) const
{
    TcpSegment segment;
    segment.key = m_key;
    segment.sequence = sequence;
    segment.ack = true;
    segment.acknowledgement = m_receiveNext;
    return segment;
}

void TcpConnection::restartTimer(Time now, std::chrono::milliseconds timeout)
{
    m_timeout = timeout;
    m_timerRuns = true;
    m_retryAt = now + timeout;
}

} // namespace anvilwalk::standins
