"""A client of the operators' API that falls back to other nodes."""

import http.client
import json
import os
import pathlib
import typing
import urllib.error
import urllib.parse
import urllib.request

import pydantic
import result

from fireflypulley.core import findings
from fireflypulley.core import inifile

CONFIG_VARIABLE = "FIREFLYPULLEY_CONFIG"
DEFAULT_CONFIG = pathlib.Path("fireflypulley.ini")
TIMEOUT_S = 10.0
Json = typing.Any


class ClientSettings(pydantic.BaseModel):
    """The ``[client]`` section: URLs of operators' APIs and a token file."""

    model_config = pydantic.ConfigDict(extra="forbid")

    urls: str = pydantic.Field(min_length=1)
    token_file: pathlib.Path


class Failure(pydantic.BaseModel):
    """An error response; ``status`` 0 means that there was no response."""

    status: int
    error: str
    findings: list[str] | str = []
    theirs: list[Json] = []


Answer = result.Result[Json, Failure]


def load_settings(path: pathlib.Path | None) -> ClientSettings:
    """Return the client's settings; raises ``findings.InvalidInput``."""
    if path is None:
        path = pathlib.Path(os.environ.get(CONFIG_VARIABLE, DEFAULT_CONFIG))
    try:
        ini = inifile.IniFile(path.read_text(), str(path))
    except OSError as error:
        finding = findings.Finding(str(path), "client", "", 0, str(error))
        raise findings.InvalidInput([finding])
    ini.reject_unknown_kinds({"client"})
    sections = ini.of_kind("client")
    options = sections[0].options if sections else {}
    try:
        settings = ClientSettings.model_validate(options)
    except pydantic.ValidationError as error:
        for problem in error.errors():
            option = str(problem["loc"][0]) if problem["loc"] else ""
            line = sections[0].lines.get(option, 0) if sections else 0
            ini.add("client", option, problem["msg"], line)
        raise findings.InvalidInput(ini.findings)
    ini.raise_findings()
    return settings


class Client:
    """Sends requests to the nodes.

    Only a GET request is sent to the next node if a node does not
    answer.
    """

    def __init__(self, settings: ClientSettings) -> None:
        self._urls = settings.urls.replace(",", " ").split()
        self._token = settings.token_file.read_text().split()[0]

    def get(self, *parts: str) -> Answer:
        """Return the response to a GET request."""
        return self._request("GET", parts, None)

    def post(self, body: Json, *parts: str) -> Answer:
        """Return the response to a POST request."""
        return self._request("POST", parts, body)

    def delete(self, *parts: str) -> Answer:
        """Return the response to a DELETE request."""
        return self._request("DELETE", parts, None)

    def _request(
        self, method: str, parts: tuple[str, ...], body: Json
    ) -> Answer:
        quoted = "/".join(urllib.parse.quote(p, safe="") for p in parts)
        last: Answer = result.Err(Failure(status=0, error="no URL"))
        for url in self._urls:
            last = self._request_from(method, f"{url}/v1/{quoted}", body)
            answered = last.is_ok() or last.unwrap_err().status
            if answered or method != "GET":
                return last
        return last

    def _request_from(self, method: str, url: str, body: Json) -> Answer:
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(url, data, method=method)
        request.add_header("Authorization", f"Bearer {self._token}")
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT_S) as reply:
                return result.Ok(json.load(reply))
        except urllib.error.HTTPError as error:
            return result.Err(_read_failure(error))
        except (OSError, ValueError, http.client.HTTPException) as error:
            # The last two are answers that stop before their end.
            problem = f"{url}: {error}"
            return result.Err(Failure(status=0, error=problem))


def _read_failure(error: urllib.error.HTTPError) -> Failure:
    try:
        body = error.read()
    except (OSError, http.client.HTTPException) as problem:
        return Failure(status=error.code, error=f"{error}: {problem}")
    return _failure(error.code, body)


def _failure(status: int, body: bytes) -> Failure:
    try:
        return Failure.model_validate({"status": status} | json.loads(body))
    except (ValueError, TypeError, pydantic.ValidationError):
        text = body.decode(errors="replace")
        return Failure(status=status, error=text)


def connect(path: pathlib.Path | None) -> Client:
    """Return a client; raises ``findings.InvalidInput``."""
    return Client(load_settings(path))
