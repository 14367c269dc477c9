package org.medlarhook.ports

import arrow.core.Either

/** The platform's object store, for content too large for a row. Callers write each name once. */
public interface ObjectStore {
    /** Stores [content] under [name] and replaces an existing object. */
    public fun put(name: String, content: ByteArray): Either<TableFailure, Unit>

    /** Returns the content stored under [name], or null if there is none. */
    public fun get(name: String): Either<TableFailure, ByteArray?>
}
