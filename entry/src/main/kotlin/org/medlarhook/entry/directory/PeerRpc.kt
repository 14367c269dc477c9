package org.medlarhook.entry.directory

import io.grpc.Status
import io.grpc.stub.StreamObserver
import org.medlarhook.core.directory.DigestBuilder
import org.medlarhook.core.directory.ReplicaEvent
import org.medlarhook.core.directory.ReplicaState
import org.medlarhook.protocol.ChangesPage
import org.medlarhook.protocol.ChangesRequest
import org.medlarhook.protocol.DirectoryDigest
import org.medlarhook.protocol.EntryServiceGrpc
import org.medlarhook.protocol.ReceiptsAck
import org.medlarhook.protocol.ReceiptsPage

/** Serves the RPCs of other entries. */
internal class PeerRpc(
    private val replica: ReplicaRunner,
    private val digests: DigestBuilder,
    private val receiptHandler: ReceiptPageHandler,
) : EntryServiceGrpc.EntryServiceImplBase() {
    override fun exchangeDigest(request: DirectoryDigest, responses: StreamObserver<DirectoryDigest>) =
        respond(responses) {
            replica.on(ReplicaEvent.PeerCalled(request.toDigest()))
            digests.build(it, replica.nowMs()).toMessage()
        }

    override fun fetchChanges(request: ChangesRequest, responses: StreamObserver<ChangesPage>) =
        respond(responses) { state ->
            val limit = request.limit.coerceIn(1, MAX_CHANGES)
            digests.changesAfter(state, request.afterVersion, limit).toPage(state.directory.version)
        }

    override fun offerReceipts(request: ReceiptsPage, responses: StreamObserver<ReceiptsAck>) {
        val ack = receiptHandler.accept(request)
        if (ack == null) {
            responses.onError(Status.FAILED_PRECONDITION.withDescription("not in charge").asRuntimeException())
            return
        }
        responses.onNext(ack)
        responses.onCompleted()
    }

    /** Refuses the call until this entry is registered: before that it is not a peer. */
    private fun <T> respond(responses: StreamObserver<T>, build: (ReplicaState) -> T) {
        if (!replica.isStarted) {
            responses.onError(Status.UNAVAILABLE.withDescription("not registered").asRuntimeException())
            return
        }
        responses.onNext(build(replica.state))
        responses.onCompleted()
    }

    private companion object {
        const val MAX_CHANGES = 500
    }
}
