package org.medlarhook.serving.process

/** Requests and answers in the form of the wire, for warming up a process before callers reach it. */
public interface SampleTraffic {
    /** The bytes of the request number [number] of a caller; streams and plain calls take turns. */
    public fun request(number: Int): ByteArray

    /** The host that the requests name. */
    public val host: String

    /** The bytes of an upstream's answer to the request number [number]. */
    public fun answer(number: Int): ByteArray
}
