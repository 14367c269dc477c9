package org.medlarhook.core.directory

import arrow.core.Either
import arrow.core.right
import org.medlarhook.ports.ObjectStore
import org.medlarhook.ports.TableFailure

/** An in-memory object store without faults. */
class MapObjectStore : ObjectStore {
    private val objects = mutableMapOf<String, ByteArray>()

    override fun put(name: String, content: ByteArray): Either<TableFailure, Unit> {
        objects[name] = content
        return Unit.right()
    }

    override fun get(name: String): Either<TableFailure, ByteArray?> = objects[name].right()
}
