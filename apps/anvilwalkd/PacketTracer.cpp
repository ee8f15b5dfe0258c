#include "PacketTracer.h"

#include <fstream>
#include <iostream>
#include <opentracing/mocktracer/json_recorder.h>
#include <opentracing/mocktracer/tracer.h>

namespace anvilwalk {

namespace {

    // Appends its text and a newline to the output on destruction, when the recorder releases it.
    class LineStream final : public std::ostringstream {
    public:
        explicit LineStream(std::string output)
            : m_output(std::move(output))
        {
        }

        ~LineStream() override
        {
            const std::string text = str();
            if (text.empty())
                return;
            if (m_output == "-") {
                std::cerr << text + "\n";
                return;
            }
            std::ofstream(m_output, std::ios::app) << text << "\n";
        }

    private:
        std::string m_output;
    };

    std::string toHex(std::uint64_t value)
    {
        std::ostringstream text;
        text << std::hex << value;
        return text.str();
    }

    void tagDecision(opentracing::Span& span, const Decision& decision)
    {
        if (const auto* forward = std::get_if<ForwardToTarget>(&decision)) {
            span.SetTag("decision", "forward");
            span.SetTag("target", forward->target.value());
            span.SetTag("tunnel", forward->tunnel.toString());
        } else if (const auto* relay = std::get_if<RelayToBalancer>(&decision)) {
            span.SetTag("decision", "relay");
            span.SetTag("target", relay->header.target.value());
            span.SetTag("relay", relay->relayEndpoint.toString());
        } else if (std::holds_alternative<RefuseFlow>(decision)) {
            span.SetTag("decision", "refuse");
        } else if (const auto* reset = std::get_if<ResetFlow>(&decision)) {
            span.SetTag("decision", "reset");
            span.SetTag("reason", std::string(toString(reset->reason)));
        } else {
            span.SetTag("decision", "drop");
            span.SetTag("reason", std::string(toString(std::get<DropPacket>(decision).reason)));
        }
    }

} // namespace

PacketTracer::PacketTracer(const PacketTracerOptions& options)
    : m_options(options)
{
    openTracer();
}

PacketTracer::~PacketTracer() { m_tracer->Close(); }

void PacketTracer::openTracer()
{
    opentracing::mocktracer::MockTracerOptions options;
    options.recorder
        = std::make_unique<opentracing::mocktracer::JsonRecorder>(std::make_unique<LineStream>(m_options.output));
    m_tracer = std::make_shared<opentracing::mocktracer::MockTracer>(std::move(options));
    m_spans = 0;
}

void PacketTracer::trace(const PacketView& packet, const Decision& decision, std::uint32_t hop)
{
    const std::uint64_t flowHash = packet.key().hash();
    if (flowHash % m_options.sampleEvery == 0)
        record(packet, decision, hop, flowHash);
}

void PacketTracer::record(const PacketView& packet, const Decision& decision, std::uint32_t hop, std::uint64_t flowHash)
{
    const std::lock_guard lock(m_mutex);
    const auto span = m_tracer->StartSpan("hop");
    span->SetTag("flow", toHex(flowHash));
    span->SetTag("client", packet.key().source.toString() + ":" + std::to_string(packet.key().sourcePort));
    span->SetTag("hop", hop);
    span->SetTag("balancer", m_options.balancer.value());
    tagDecision(*span, decision);
    span->Finish();
    if (++m_spans < m_options.spansPerLine)
        return;
    m_tracer->Close();
    openTracer();
}

} // namespace anvilwalk
