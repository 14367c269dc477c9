package org.medlarhook.entry.directory

import arrow.core.Either
import org.medlarhook.core.directory.DirectoryReader
import org.medlarhook.core.directory.DirectoryState
import org.medlarhook.core.directory.ModelDeclaration
import org.medlarhook.core.directory.ServiceDeclaration
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.key.KeyVerifier
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/** A directory that follows the change log of the tables by polling. */
internal class PolledDirectory(
    private val reader: DirectoryReader,
) : DirectoryView {
    @Volatile
    private var state = DirectoryState()

    override val version: Long
        get() = state.version

    /** Reads the changes that are new and applies them. */
    fun poll() {
        reader.poll(version).onRight { page -> state = (page.snapshot ?: state).applyAll(page.changes) }
    }

    override fun authenticate(presentedKey: String, nowMs: Long): Either<Failure, Workspace> =
        KeyVerifier
            .verify(presentedKey, state)
            .mapLeft { Failure(ResultCode.KEY_INVALID, RunState.NOT_RUN) }
            .map { state.workspaces.getValue(it.workspace) }

    override fun model(name: String): ModelDeclaration? = state.models[name]

    override fun models(): List<ModelDeclaration> = state.models.values.toList()

    override fun service(name: String): ServiceDeclaration? = state.services[name]
}
