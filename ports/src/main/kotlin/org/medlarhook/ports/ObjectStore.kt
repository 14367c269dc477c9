package org.medlarhook.ports

import arrow.core.Either

/** The platform's object store, for content too large for a row. Objects are written once under a name. */
public interface ObjectStore {
    /** Stores [content] under [name], replacing what was there. */
    public fun put(name: String, content: ByteArray): Either<TableFailure, Unit>

    /** Returns the content of [name], or null if there is none. */
    public fun get(name: String): Either<TableFailure, ByteArray?>
}
