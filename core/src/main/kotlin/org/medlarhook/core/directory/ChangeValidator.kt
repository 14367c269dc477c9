package org.medlarhook.core.directory

/** Validates a proposed change and reports all its errors at once. */
public object ChangeValidator {
    private const val MAX_NAME_LENGTH = 128
    private const val SALT_HEX_LENGTH = 32
    private const val DIGEST_HEX_LENGTH = 64
    private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]*")
    private val HEX = Regex("[0-9a-f]*")

    /** Returns the errors of [change] when applied to [state]; with an empty list it may be appended. */
    public fun validate(state: DirectoryState, change: DirectoryChange): List<ValidationError> {
        val next = state.applyAll(listOf(change.copy(version = state.version + 1)))
        return duplicates(change) +
            change.deletes.mapNotNull { ref -> deleteError(ref, state) } +
            change.puts.flatMap { localErrors(it) } +
            change.puts.mapNotNull { entity -> retiredError(entity, state) } +
            next.entities().flatMap { entity -> missingReferences(entity, next) }
    }

    private fun duplicates(change: DirectoryChange): List<ValidationError> =
        (change.puts.map { it.ref } + change.deletes)
            .groupingBy { it }
            .eachCount()
            .filterValues { it > 1 }
            .keys
            .map { ValidationError.NamedTwice(it) }

    private fun deleteError(ref: EntityRef, state: DirectoryState): ValidationError? =
        ValidationError.NothingToDelete(ref).takeUnless { state.contains(ref) }

    private fun retiredError(entity: DirectoryEntity, state: DirectoryState): ValidationError? =
        ValidationError
            .RetiredKey(entity.ref)
            .takeIf { entity is KeyGrant && !entity.withdrawn && entity.name in state.retiredKeyIds }

    private fun localErrors(entity: DirectoryEntity): List<ValidationError> {
        val badName = ValidationError.BadName(entity.ref).takeUnless { isName(entity.name) }
        return listOfNotNull(badName) + fieldErrors(entity)
    }

    private fun isName(name: String) = name.length <= MAX_NAME_LENGTH && NAME.matches(name)

    private fun fieldErrors(entity: DirectoryEntity): List<ValidationError> =
        when (entity) {
            is Workspace -> workspaceErrors(entity)
            is KeyGrant -> keyErrors(entity)
            is ModelDeclaration -> modelErrors(entity)
            is ServiceDeclaration -> serviceErrors(entity)
            is Site -> siteErrors(entity)
        }

    private fun workspaceErrors(workspace: Workspace) =
        listOfNotNull(
            atLeast(workspace, "weight", workspace.weight.toLong(), 1),
            workspace.tokensPerS?.let { atLeast(workspace, "tokensPerS", it, 1) },
            workspace.maxConcurrent?.let { atLeast(workspace, "maxConcurrent", it.toLong(), 1) },
        )

    private fun keyErrors(key: KeyGrant): List<ValidationError> {
        val saltOk = key.saltHex.length == SALT_HEX_LENGTH && HEX.matches(key.saltHex)
        val digestOk = key.digestHex.length == DIGEST_HEX_LENGTH && HEX.matches(key.digestHex)
        return if (saltOk && digestOk) emptyList() else listOf(ValidationError.BadDigest(key.ref))
    }

    private fun modelErrors(model: ModelDeclaration) =
        listOfNotNull(
            atLeast(model, "maxOutputTokens", model.maxOutputTokens.toLong(), 1),
            atLeast(model, "defaultDeadlineMs", model.defaultDeadlineMs, 1),
            ValidationError.BadName(model.ref).takeUnless { model.adapters.all(::isName) && isName(model.version) },
        )

    private fun serviceErrors(service: ServiceDeclaration): List<ValidationError> {
        val paths = service.routes.filterNot { it.pathPrefix.startsWith("/") }
        return listOfNotNull(atLeast(service, "defaultDeadlineMs", service.defaultDeadlineMs, 1)) +
            paths.map { ValidationError.BadPath(service.ref, it.pathPrefix) }
    }

    private fun siteErrors(site: Site) =
        listOfNotNull(
            atLeast(site, "minUpstreams", site.minUpstreams.toLong(), 0),
            atLeast(site, "maxUpstreams", site.maxUpstreams.toLong(), site.minUpstreams.toLong()),
        )

    private fun atLeast(entity: DirectoryEntity, field: String, value: Long, minimum: Long): ValidationError? =
        ValidationError.OutOfRange(entity.ref, field, value).takeIf { value < minimum }

    private fun missingReferences(entity: DirectoryEntity, state: DirectoryState): List<ValidationError> =
        references(entity)
            .filterNot { state.contains(it) }
            .map { ValidationError.MissingReference(entity.ref, it) }

    private fun references(entity: DirectoryEntity): List<EntityRef> =
        when (entity) {
            is Workspace -> models(entity.models) + services(entity.services)
            is KeyGrant -> if (entity.withdrawn) emptyList() else listOf(ref(EntityKind.WORKSPACE, entity.workspace))
            is ModelDeclaration -> emptyList()
            is ServiceDeclaration -> emptyList()
            is Site -> models(entity.models) + services(entity.services)
        }

    private fun models(names: List<String>) = names.map { ref(EntityKind.MODEL, it) }

    private fun services(names: List<String>) = names.map { ref(EntityKind.SERVICE, it) }

    private fun ref(kind: EntityKind, name: String) = EntityRef(kind.label, name)

    private val DirectoryEntity.ref: EntityRef get() = ref(kind, name)

    private fun DirectoryState.contains(ref: EntityRef): Boolean =
        when (EntityKind.of(ref.kind)) {
            EntityKind.WORKSPACE -> ref.name in workspaces
            EntityKind.KEY -> ref.name in keys
            EntityKind.MODEL -> ref.name in models
            EntityKind.SERVICE -> ref.name in services
            EntityKind.SITE -> ref.name in sites
            null -> false
        }
}
