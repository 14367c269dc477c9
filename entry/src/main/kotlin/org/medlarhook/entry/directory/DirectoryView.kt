package org.medlarhook.entry.directory

import arrow.core.Either
import org.medlarhook.core.directory.ModelDeclaration
import org.medlarhook.core.directory.ServiceDeclaration
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.result.Failure

/** What the callers' side of an entry needs to know of the directory. */
internal interface DirectoryView {
    /** The version in force in this process. */
    val version: Long

    /** True once requests can be checked against the directory. */
    val isReady: Boolean
        get() = version > 0

    /** The workspace of a presented key, or why the key is refused at [nowMs]. */
    fun authenticate(presentedKey: String, nowMs: Long): Either<Failure, Workspace>

    /** Whether a request that is open may go on with the key that it came with. */
    fun stillAllowed(presentedKey: String, nowMs: Long): Boolean = authenticate(presentedKey, nowMs).isRight()

    /** The model of that name, or null. */
    fun model(name: String): ModelDeclaration?

    /** All models. */
    fun models(): List<ModelDeclaration>

    /** The plain service of that name, or null. */
    fun service(name: String): ServiceDeclaration?
}
