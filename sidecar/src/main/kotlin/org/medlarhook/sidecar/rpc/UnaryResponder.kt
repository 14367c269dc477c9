package org.medlarhook.sidecar.rpc

import io.grpc.stub.ServerCallStreamObserver

/** Sends the one response of a unary call; [onCancel] is called if the client cancels the call. */
internal class UnaryResponder<T>(
    private val observer: ServerCallStreamObserver<T>,
    onCancel: () -> Unit,
) {
    init {
        observer.setOnCancelHandler(onCancel)
    }

    /** Sends [response]; does nothing if the call is cancelled. */
    fun respond(response: T) {
        if (observer.isCancelled) return
        observer.onNext(response)
        observer.onCompleted()
    }
}
