#include "flamingowick/peers/detail/WireDocuments.h"

#include "flamingowick/model/Error.h"

namespace flamingowick::peers::detail {

namespace {

    template <typename Wire>
    void revisionsToWire(const std::vector<configuration::DocumentRevision>& held, Wire& wire)
    {
        for (const configuration::DocumentRevision& revision : held) {
            wire::DocumentRevision& added = *wire.add_held();
            added.set_service(revision.service);
            added.set_revision(revision.revision);
        }
    }

    template <typename Wire>
    std::vector<configuration::DocumentRevision> revisionsFromWire(const Wire& wire)
    {
        std::vector<configuration::DocumentRevision> held;
        for (const wire::DocumentRevision& revision : wire.held())
            held.push_back({ revision.service(), revision.revision() });
        return held;
    }

    void auditToWire(const configuration::AuditEntry& entry, wire::AuditEntry& wire)
    {
        wire.set_revision(entry.revision);
        wire.set_change_id(entry.changeId);
        wire.set_who(entry.who);
        wire.set_when_ms(entry.whenMs);
        wire.set_from_version(entry.fromVersion);
        wire.set_to_version(entry.toVersion);
        wire.set_accepted(entry.accepted);
        wire.set_source_version(entry.sourceVersion);
        for (const Finding& finding : entry.findings) {
            wire::Finding& added = *wire.add_findings();
            added.set_number(finding.number);
            added.set_pointer(finding.pointer);
            added.set_line(finding.line);
            added.set_message(finding.message);
        }
    }

    configuration::AuditEntry auditFromWire(const wire::AuditEntry& wire)
    {
        configuration::AuditEntry entry;
        entry.revision = wire.revision();
        entry.changeId = wire.change_id();
        entry.who = wire.who();
        entry.whenMs = wire.when_ms();
        entry.fromVersion = wire.from_version();
        entry.toVersion = wire.to_version();
        entry.accepted = wire.accepted();
        entry.sourceVersion = wire.source_version();
        for (const wire::Finding& finding : wire.findings())
            entry.findings.push_back({ finding.number(), finding.pointer(), finding.line(), finding.message() });
        return entry;
    }

    void documentToWire(const configuration::AcceptedDocument& document, wire::AcceptedDocument& wire)
    {
        wire.set_service(document.service);
        wire.set_version(document.version);
        wire.set_revision(document.revision);
        wire.set_source_present(document.checked.present);
        wire.set_source_version(document.checked.resourceVersion);
        wire.set_source_hash(document.checked.textHash);
        wire.set_text(document.text);
        wire.set_deleted(document.deleted);
        for (const configuration::AuditEntry& entry : document.audit)
            auditToWire(entry, *wire.add_audit());
        wire.set_archived_entries(document.archivedEntries);
    }

    configuration::AcceptedDocument documentFromWire(const wire::AcceptedDocument& wire)
    {
        configuration::AcceptedDocument document;
        document.service = wire.service();
        document.version = wire.version();
        document.revision = wire.revision();
        document.checked = { wire.source_present(), wire.source_version(), wire.source_hash() };
        document.text = wire.text();
        document.deleted = wire.deleted();
        for (const wire::AuditEntry& entry : wire.audit())
            document.audit.push_back(auditFromWire(entry));
        document.archivedEntries = wire.archived_entries();
        return document;
    }

    // Writes the body of an envelope that is about documents.
    struct DocumentWriter {
        wire::Envelope& envelope;

        void operator()(const configuration::Announcement& message) const
        {
            revisionsToWire(message.held, *this->envelope.mutable_announcement());
        }

        void operator()(const configuration::DocumentRequest& message) const
        {
            wire::DocumentRequest& wire = *this->envelope.mutable_document_request();
            for (const std::string& service : message.services)
                wire.add_services(service);
        }

        void operator()(const configuration::DocumentBatch& message) const
        {
            wire::DocumentBatch& wire = *this->envelope.mutable_document_batch();
            for (const configuration::AcceptedDocument& document : message.documents)
                documentToWire(document, *wire.add_documents());
        }

        void operator()(const configuration::DigestSummary& message) const
        {
            wire::DigestSummary& wire = *this->envelope.mutable_digest_summary();
            wire.set_exchange(message.exchange);
            wire.set_root(message.root);
            wire.set_ready(message.ready);
            wire.set_reply(message.reply);
        }

        void operator()(const configuration::DigestBuckets& message) const
        {
            wire::DigestBuckets& wire = *this->envelope.mutable_digest_buckets();
            wire.set_exchange(message.exchange);
            wire.set_ready(message.ready);
            for (std::uint64_t bucket : message.buckets)
                wire.add_buckets(bucket);
        }

        void operator()(const configuration::DigestEntries& message) const
        {
            wire::DigestEntries& wire = *this->envelope.mutable_digest_entries();
            for (std::uint16_t bucket : message.buckets)
                wire.add_buckets(bucket);
            revisionsToWire(message.held, wire);
        }
    };

}

void toWire(const configuration::PeerMessage& message, wire::Envelope& envelope)
{
    std::visit(DocumentWriter { envelope }, message);
}

configuration::Announcement fromWire(const wire::Announcement& wire)
{
    return { revisionsFromWire(wire) };
}

configuration::DocumentRequest fromWire(const wire::DocumentRequest& wire)
{
    return { { wire.services().begin(), wire.services().end() } };
}

configuration::DocumentBatch fromWire(const wire::DocumentBatch& wire)
{
    configuration::DocumentBatch batch;
    for (const wire::AcceptedDocument& document : wire.documents())
        batch.documents.push_back(documentFromWire(document));
    return batch;
}

configuration::DigestSummary fromWire(const wire::DigestSummary& wire)
{
    return { wire.exchange(), wire.root(), wire.ready(), wire.reply() };
}

configuration::DigestBuckets fromWire(const wire::DigestBuckets& wire)
{
    configuration::DigestBuckets message { wire.exchange(), wire.ready(), {} };
    if (static_cast<std::size_t>(wire.buckets_size()) != message.buckets.size())
        throw PeerError(301, "A digest has a wrong number of buckets");
    std::copy(wire.buckets().begin(), wire.buckets().end(), message.buckets.begin());
    return message;
}

configuration::DigestEntries fromWire(const wire::DigestEntries& wire)
{
    configuration::DigestEntries message;
    for (std::uint32_t bucket : wire.buckets()) {
        if (bucket >= configuration::digestBuckets)
            throw PeerError(301, "A digest names an unknown bucket");
        message.buckets.push_back(static_cast<std::uint16_t>(bucket));
    }
    message.held = revisionsFromWire(wire);
    return message;
}

}
