#include <arbutuscrank/core/reduce.hpp>
#include <arbutuscrank/core/state.hpp>

namespace arbutuscrank {

namespace {

    /// Passes each peer message to the topics that handle it.
    struct MessageDispatcher {
        State& state;
        const ProcessId& from;
        Context& context;

        void operator()(const Heartbeat& message) const
        {
            membership::onHeartbeat(state, message, context);
            configuration::onHeartbeat(state, message, context);
            const auto* record = membership::find(state, message.sender.process.vm);
            if (!message.sender.region.empty() || record == nullptr || record->member.process != message.sender.process)
                return routing::onHeartbeat(state, message, context);
            // Most heartbeats leave out the location of the sender, which this daemon already knows.
            auto complete = message;
            complete.sender = record->member;
            routing::onHeartbeat(state, complete, context);
        }
        void operator()(const ManifestPush& message) const
        {
            configuration::onManifestPush(state, from, message, context);
        }
        void operator()(const PartRequest& message) const
        {
            configuration::onPartRequest(state, from, message, context);
        }
        void operator()(const PartReply& message) const { configuration::onPartReply(state, from, message, context); }
        void operator()(const LedgerPush& message) const { quota::onLedgerPush(state, from, message, context); }
        void operator()(const ShareConfirm& message) const { quota::onShareConfirm(state, from, message, context); }
        void operator()(const LoanRequest& message) const { quota::onLoanRequest(state, from, message, context); }
        void operator()(const LoanReply& message) const { quota::onLoanReply(state, from, message, context); }
        void operator()(const ReserveRequest& message) const
        {
            idempotency::onReserveRequest(state, from, message, context);
        }
        void operator()(const ReserveReply& message) const
        {
            idempotency::onReserveReply(state, from, message, context);
        }
        void operator()(const RecordOutcome& message) const
        {
            idempotency::onRecordOutcome(state, from, message, context);
        }
        void operator()(const OwnerQuery& message) const { routing::onOwnerQuery(state, from, message, context); }
        void operator()(const OwnerReply& message) const { routing::onOwnerReply(state, from, message, context); }
        void operator()(const ProofRequest& message) const { proof::onProofRequest(state, from, message, context); }
        void operator()(const ProofReply& message) const { proof::onProofReply(state, from, message, context); }
    };

    /// Passes each event to the topics that handle it, in the order of the dependencies between the topics.
    struct EventDispatcher {
        State& state;
        Context& context;

        void operator()(const Tick&) const
        {
            membership::onTick(state, context);
            configuration::onTick(state, context);
            quota::onTick(state, context);
            idempotency::onTick(state, context);
            routing::onTick(state, context);
            steering::onTick(state, context);
            requests::onTick(state, context);
            proof::onTick(state, context);
            draining::onTick(state, context);
        }
        void operator()(const StopRequested&) const { draining::onStopRequested(state, context); }
        void operator()(const VmListRead& event) const { membership::onVmListRead(state, event, context); }
        void operator()(const VmListFailed& event) const { membership::onVmListFailed(state, event, context); }
        void operator()(const ObjectRead& event) const
        {
            switch (topicOf(event.token)) {
            case StoreTopic::Configuration:
                return configuration::onObjectRead(state, event, context);
            case StoreTopic::Quota:
                return quota::onObjectRead(state, event, context);
            case StoreTopic::Steering:
                return steering::onObjectRead(state, event, context);
            }
        }
        void operator()(const ObjectWritten& event) const
        {
            switch (topicOf(event.token)) {
            case StoreTopic::Configuration:
                return configuration::onObjectWritten(state, event, context);
            case StoreTopic::Quota:
                return quota::onObjectWritten(state, event, context);
            case StoreTopic::Steering:
                return steering::onObjectWritten(state, event, context);
            }
        }
        void operator()(const StoreCallFailed& event) const
        {
            switch (topicOf(event.token)) {
            case StoreTopic::Configuration:
                return configuration::onStoreCallFailed(state, event, context);
            case StoreTopic::Quota:
                return quota::onStoreCallFailed(state, event, context);
            case StoreTopic::Steering:
                return steering::onStoreCallFailed(state, event, context);
            }
        }
        void operator()(const PeerMessageReceived& event) const
        {
            std::visit(MessageDispatcher { state, event.from, context }, event.message);
        }
        void operator()(const PeerConnectionLost& event) const
        {
            membership::onPeerConnectionLost(state, event, context);
            quota::onPeerConnectionLost(state, event, context);
            idempotency::onPeerConnectionLost(state, event, context);
        }
        void operator()(const RequestArrived& event) const { requests::onRequestArrived(state, event, context); }
        void operator()(const ForwardArrived& event) const { requests::onForwardArrived(state, event, context); }
        void operator()(const AttemptEnded& event) const { requests::onAttemptEnded(state, event, context); }
        void operator()(const AnswerStarted& event) const { requests::onAnswerStarted(state, event, context); }
        void operator()(const CallerDisconnected& event) const
        {
            requests::onCallerDisconnected(state, event, context);
        }
        void operator()(const ProbeEnded& event) const { routing::onProbeEnded(state, event, context); }
        void operator()(const ProofQueryReceived& event) const { proof::onProofQueryReceived(state, event, context); }
        void operator()(const ConfigurationApplied& event) const
        {
            membership::onConfigurationApplied(state, event, context);
            keys::onConfigurationApplied(state, event, context);
            quota::onConfigurationApplied(state, event, context);
            routing::onConfigurationApplied(state, event, context);
            steering::onConfigurationApplied(state, event, context);
            requests::onConfigurationApplied(state, event, context);
            proof::onConfigurationApplied(state, event, context);
        }
        void operator()(const MemberChanged& event) const
        {
            configuration::onMemberChanged(state, event, context);
            quota::onMemberChanged(state, event, context);
            idempotency::onMemberChanged(state, event, context);
            routing::onMemberChanged(state, event, context);
            steering::onMemberChanged(state, event, context);
        }
        void operator()(const QuotaResolved& event) const { requests::onQuotaResolved(state, event, context); }
        void operator()(const ReservationResolved& event) const
        {
            requests::onReservationResolved(state, event, context);
        }
        void operator()(const SlotGranted& event) const { requests::onSlotGranted(state, event, context); }
        void operator()(const QueueRefused& event) const { requests::onQueueRefused(state, event, context); }
    };

} // namespace

void reduce(State& state, const Event& event, TimePoint now, Outbox& outbox)
{
    Context context { now, outbox };
    const EventDispatcher dispatcher { state, context };
    std::visit(dispatcher, event);
    while (!outbox.followUps.empty()) {
        const Event next = std::move(outbox.followUps.front());
        outbox.followUps.pop_front();
        std::visit(dispatcher, next);
    }
}

} // namespace arbutuscrank
