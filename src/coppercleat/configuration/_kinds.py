"""The kinds of configured things and the checks on each."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, Struct, field

from coppercleat.errors import InvalidRequestError

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Weight = Annotated[float, Meta(ge=0, le=1000)]
Tokens = Annotated[int, Meta(ge=1, le=1_000_000)]


class Kind(enum.Enum):
    """What an entity configures."""

    DEPLOYMENT = "deployment"
    ROUTE = "route"
    TENANT = "tenant"
    MODEL = "model"
    ADAPTER = "adapter"
    VERSION = "version"


BODY_KINDS: dict[Kind, type[Struct]] = {}

_S = TypeVar("_S", bound=type[Struct])


def body_of(kind: Kind) -> Callable[[_S], _S]:
    """Registers the class of an entity's body under its kind."""

    def register(cls: _S) -> _S:
        BODY_KINDS[kind] = cls
        return cls

    return register


@body_of(Kind.DEPLOYMENT)
class Deployment(Struct, forbid_unknown_fields=True, kw_only=True):
    """Serves versions of a model on the engines of a service.

    Attributes:
      service: The engines' service name in the platform's list.
      versions: Share of traffic by version; 0 for none.
      adapters: Adapters that requests may name.
      default_max_tokens: For requests that do not say.
      min_serving: Engines that keep serving while versions are loaded.
    """

    service: Name
    versions: Annotated[dict[Name, Weight], Meta(min_length=1, max_length=16)]
    adapters: list[Name] = field(default_factory=list)
    default_max_tokens: Tokens = 64
    min_serving: Annotated[int, Meta(ge=1)] = 1


@body_of(Kind.ROUTE)
class Route(Struct, forbid_unknown_fields=True, kw_only=True):
    """Leads calls to a plain service.

    Attributes:
      service: The service's name in the platform's list.
      path: Path that calls are sent to.
      at_most_once: Whether calls may never be repeated, whatever they say.
    """

    service: Name
    path: Annotated[str, Meta(pattern=r"^/[!-~]*$")] = "/call"
    at_most_once: bool = False


@body_of(Kind.TENANT)
class Tenant(Struct, forbid_unknown_fields=True, kw_only=True):
    """A client account with its token and its limits over the fleet.

    Attributes:
      token_sha256: SHA-256 of the tenant's token, in hexadecimal.
      rate: Online requests a second; 0 for no limit.
      concurrency: Online requests in flight; 0 for no limit.
      weight: Share of batch capacity among tenants.
    """

    token_sha256: Digest
    rate: Annotated[float, Meta(ge=0)] = 0.0
    concurrency: Annotated[int, Meta(ge=0)] = 0
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


@body_of(Kind.MODEL)
class Model(Struct, forbid_unknown_fields=True, kw_only=True):
    """A model by name.

    Attributes:
      description: For people.
    """

    description: str = ""


@body_of(Kind.ADAPTER)
class Adapter(Struct, forbid_unknown_fields=True, kw_only=True):
    """An adapter of a model, kept in the weight store.

    Attributes:
      model: The model it belongs to.
      weights: Its name in the weight store.
    """

    model: Name
    weights: str


@body_of(Kind.VERSION)
class Version(Struct, forbid_unknown_fields=True, kw_only=True):
    """A version of a model, kept in the weight store.

    Attributes:
      model: The model it belongs to.
      weights: Its name in the weight store.
      size_bytes: For planning of loads.
    """

    model: Name
    weights: str
    size_bytes: Annotated[int, Meta(ge=0)] = 0


def decode_body(kind: Kind, name: str, body: bytes) -> Any:
    """Decodes and checks an entity's body.

    Raises:
      InvalidRequestError: The message names the entity and the path of the field.
    """
    try:
        return msgspec.json.decode(body, type=BODY_KINDS[kind])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise InvalidRequestError(
            f"{kind.value} {name}: {error}",
            remedy="Correct the field that follows '$'.",
            problems=[f"{kind.value}/{name}: {error}"],
        ) from error
