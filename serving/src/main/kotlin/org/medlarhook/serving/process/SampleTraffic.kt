package org.medlarhook.serving.process

/** Sample requests and answers as sent on the wire, for warming up a process before it accepts callers. */
public interface SampleTraffic {
    /** The bytes of a caller's request number [number]; streams and plain calls alternate. */
    public fun request(number: Int): ByteArray

    /** The host in the requests. */
    public val host: String

    /** The bytes of an upstream's answer to the request number [number]. */
    public fun answer(number: Int): ByteArray
}
