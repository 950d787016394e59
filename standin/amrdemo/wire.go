package amrdemo

import "encoding/json"

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type completionEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *refusalFields `json:"error"`
}

type refusalBody struct {
	Error refusalFields `json:"error"`
}

type refusalFields struct {
	Message   string `json:"message"`
	Code      string `json:"code"`
	Ran       string `json:"ran"`
	Remedy    string `json:"remedy"`
	RequestID string `json:"request_id"`
}

type explanation struct {
	RequestID  string `json:"request_id"`
	Summary    string `json:"summary"`
	Candidates []struct {
		BackendServer string `json:"backend_server"`
		Cost          string `json:"cost"`
	} `json:"candidates"`
	Attempts []struct {
		BackendServer string `json:"backend_server"`
		Result        string `json:"result"`
	} `json:"attempts"`
}

func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // The types of this package always marshal.
	}
	return data
}
