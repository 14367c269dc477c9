package org.medlarhook.sidecar.rpc

import io.grpc.stub.ServerCallStreamObserver

/** The one answer of a unary call. */
internal class UnaryResponder<T>(
    private val observer: ServerCallStreamObserver<T>,
    onCancel: () -> Unit,
) {
    init {
        observer.setOnCancelHandler(onCancel)
    }

    /** Sends [answer]; without effect if the caller has left. */
    fun give(answer: T) {
        if (observer.isCancelled) return
        observer.onNext(answer)
        observer.onCompleted()
    }
}
